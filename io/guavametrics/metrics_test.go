package guavametrics_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"guavaridge/io/guavametrics"
)

// TestScrape guards against metrics that are registered but missing from the endpoint.
func TestScrape(t *testing.T) {
	m, err := guavametrics.New()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = m.Close(t.Context()) }()
	value := int64(3)
	if err := m.Counter("requests", "Requests of callers.", func() int64 { return value }); err != nil {
		t.Fatal(err)
	}
	if err := m.Gauge("running", "Running requests.", func() int64 { return value }); err != nil {
		t.Fatal(err)
	}
	record, err := m.LabelledHistogram("call", "Calls.", "s", []string{"kind", "result"}, 0.1, 1)
	if err != nil {
		t.Fatal(err)
	}
	record(0.5, "read", "ok")
	count, err := m.LabelledCounter("ended", "Ended requests.", "outcome", "cause")
	if err != nil {
		t.Fatal(err)
	}
	count("refused", "overload")
	count("refused", "overload")
	value = 7
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{"requests_total 7", "running 7", `call_seconds_bucket{kind="read",result="ok",le="1"} 1`, "process_open_fds ", `ended_total{cause="overload",outcome="refused"} 2`} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("endpoint lacks %q:\n%s", want, w.Body)
		}
	}
}
