package guavademo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/io/guavastandin"
)

// Sizes and bounds of the tour.
const (
	shortTokens   = 16
	longTokens    = 400
	endlessTokens = 20_000
	jobItems      = 1000
	longJobItems  = 5000
	longJobTokens = 200
	jobTimeout    = time.Minute
	jobPoll       = 100 * time.Millisecond
	// inForce is the time within which a withdrawn key and a cancelled job must have stopped.
	inForce = 3 * time.Second
)

// step is one row of the tour's table.
type step struct {
	asked   string
	promise string
	run     func(context.Context) (got string, err error)
}

// SmokeTest makes one request of each kind, prints a table of what was asked, what came back and whether the promise held,
// and returns an error unless all held. Afterwards the last VM has stopped.
func (d *Deployment) SmokeTest(ctx context.Context, w io.Writer) error {
	failed := 0
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ASKED\tCAME BACK\tPROMISE\tHELD")
	for _, s := range []step{
		{"a completion", "the whole answer to the own request", d.tourCompletion},
		{"a streamed completion", "each token once", d.tourStream},
		{"a booking", "runs once, without the key", d.tourBooking},
		{fmt.Sprintf("a batch job of %d items", jobItems), "each item finishes exactly once", d.tourJob},
		{"a key withdrawn during a stream", "stops within 3 s", d.tourKey},
		{"a job cancelled while it runs", "stops within 3 s", d.tourCancel},
		{"a VM drained during a stream", "cuts off no request", d.tourDrain},
	} {
		got, err := s.run(ctx)
		held := "yes"
		if err != nil {
			failed++
			held, got = "NO", err.Error()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", s.asked, got, s.promise, held)
	}
	if err := t.Flush(); err != nil {
		return errors.Newf("print table: %w", err)
	}
	if failed > 0 {
		return errors.Newf("%d promises did not hold", failed)
	}
	return nil
}

func (d *Deployment) caller(vm int) caller {
	return caller{address: d.vms[vm].settings.CallerAddress(), key: d.key.Text}
}

func (d *Deployment) tourCompletion(ctx context.Context) (string, error) {
	const prompt = "a caption for the square"
	text, err := d.caller(0).complete(ctx, prompt, shortTokens)
	if err != nil {
		return "", err
	}
	if want := guavastandin.Text(model, prompt, shortTokens); text != want {
		return "", errors.Newf("got %q, want %q", text, want)
	}
	return fmt.Sprintf("%d tokens", shortTokens), nil
}

func (d *Deployment) tourStream(ctx context.Context) (string, error) {
	const prompt = "a walk past the artists"
	text, whole, err := d.caller(1).stream(ctx, prompt, longTokens, nil)
	if err != nil {
		return "", err
	}
	if want := guavastandin.Text(model, prompt, longTokens); text != want || !whole {
		return "", errors.Newf("got %d bytes, end seen: %v; want %d bytes", len(text), whole, len(want))
	}
	return fmt.Sprintf("%d tokens, [DONE]", longTokens), nil
}

func (d *Deployment) tourBooking(ctx context.Context) (string, error) {
	const booking = "pitch-17"
	r, err := d.caller(2).post(ctx, "/bookings/confirm?booking="+booking, map[string]string{"artist": "A. Prata"})
	if err != nil {
		return "", err
	}
	if r.status != http.StatusOK {
		return "", errors.Newf("status %d: %s", r.status, r.body)
	}
	if n := d.service.Ends(booking); n != 1 {
		return "", errors.Newf("ran %d times", n)
	}
	for _, q := range d.service.Received() {
		if strings.Contains(fmt.Sprint(q), d.key.Text) {
			return "", errors.New("the key reached the backend server")
		}
	}
	return "confirmed, ran once", nil
}

func (d *Deployment) tourJob(ctx context.Context) (string, error) {
	start := time.Now()
	c := d.caller(0)
	j, err := c.submit(ctx, "night", jobItems, shortTokens)
	if err != nil {
		return "", err
	}
	if j, err = d.waitForJob(ctx, c, j.ID); err != nil {
		return "", err
	}
	r, err := c.send(ctx, http.MethodGet, "/v1/files/"+j.Output+"/content", "", nil)
	if err != nil {
		return "", err
	}
	if err := checkResults(r.body, "night", jobItems); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d results in %.1f s", j.Counts.Completed, time.Since(start).Seconds()), nil
}

func (d *Deployment) waitForJob(ctx context.Context, c caller, id string) (job, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	for {
		j, err := c.show(ctx, id)
		if err != nil {
			return job{}, err
		}
		if j.Status == "completed" {
			return j, nil
		}
		select {
		case <-ctx.Done():
			return job{}, errors.Newf("job is %s with %d of %d items after %s", j.Status, j.Counts.Completed, j.Counts.Total, jobTimeout)
		case <-time.After(jobPoll):
		}
	}
}

// checkResults checks that a result file holds each item exactly once.
func checkResults(data []byte, name string, items int) error {
	seen := map[string]int{}
	for line := range bytes.Lines(data) {
		var r struct {
			ID string `json:"custom_id"`
		}
		if err := json.Unmarshal(line, &r); err != nil {
			return errors.Newf("decode result: %w", err)
		}
		seen[r.ID]++
	}
	for i := range items {
		if n := seen[fmt.Sprintf("%s-%d", name, i)]; n != 1 {
			return errors.Newf("item %d has %d results", i, n)
		}
	}
	if len(seen) != items {
		return errors.Newf("%d results for %d items", len(seen), items)
	}
	return nil
}

func (d *Deployment) tourKey(ctx context.Context) (string, error) {
	issued, err := d.vms[0].node.Store().IssueKey(ctx, d.meta("key to withdraw"), accountName, nil)
	if err != nil {
		return "", err
	}
	if err := d.waitForVersion(ctx); err != nil {
		return "", err
	}
	c := caller{address: d.vms[1].settings.CallerAddress(), key: issued.Text}
	first, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		_, _, err := c.stream(ctx, "an endless walk", endlessTokens, first)
		ended <- err
	}()
	select {
	case <-first:
	case err := <-ended:
		return "", errors.Newf("the stream did not start: %w", err)
	}
	start := time.Now()
	if _, err := d.vms[0].node.Store().WithdrawKey(ctx, d.meta("withdrawn"), issued.Name); err != nil {
		return "", err
	}
	select {
	case err = <-ended:
	case <-time.After(inForce):
		return "", errors.Newf("the stream still ran after %s", inForce)
	}
	if err == nil {
		return "", errors.New("the stream ended without an error")
	}
	took := time.Since(start)
	if _, again := c.complete(ctx, "again", shortTokens); again == nil {
		return "", errors.New("the withdrawn key still works")
	}
	return fmt.Sprintf("stopped after %d ms (%v)", took.Milliseconds(), err), nil
}

func (d *Deployment) tourCancel(ctx context.Context) (string, error) {
	c := d.caller(1)
	j, err := c.submit(ctx, "draft", longJobItems, longJobTokens)
	if err != nil {
		return "", err
	}
	if err := d.waitForWork(ctx); err != nil {
		return "", err
	}
	if _, err := c.send(ctx, http.MethodPost, "/v1/batches/"+j.ID+"/cancel", "application/json", nil); err != nil {
		return "", err
	}
	time.Sleep(inForce)
	before := d.received()
	time.Sleep(time.Second)
	if after := d.received(); after != before || d.running() > 0 {
		return "", errors.Newf("%d items were sent and %d ran more than %s after the cancellation", after-before, d.running(), inForce)
	}
	if j, err = c.show(ctx, j.ID); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s, %d of %d items finished", j.Status, j.Counts.Completed, j.Counts.Total), nil
}

// waitForWork waits until an engine runs an item.
func (d *Deployment) waitForWork(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for d.running() == 0 {
		select {
		case <-ctx.Done():
			return errors.Newf("no item was sent within %s", startTimeout)
		case <-time.After(startPoll):
		}
	}
	return nil
}

// running returns the number of streams on all engines.
func (d *Deployment) running() int {
	n := 0
	for _, e := range d.engines {
		running, waiting := e.Running()
		n += running + waiting
	}
	return n
}

// received returns the number of requests that all engines have received.
func (d *Deployment) received() int {
	n := 0
	for _, e := range d.engines {
		n += len(e.Received())
	}
	return n
}

func (d *Deployment) tourDrain(ctx context.Context) (string, error) {
	const prompt = "the last walk"
	v := d.vms[len(d.vms)-1]
	first := make(chan struct{})
	type end struct {
		text  string
		whole bool
		err   error
	}
	ended := make(chan end, 1)
	go func() {
		text, whole, err := d.caller(len(d.vms)-1).stream(ctx, prompt, longTokens, first)
		ended <- end{text, whole, err}
	}()
	select {
	case <-first:
	case e := <-ended:
		return "", errors.Newf("the stream did not start: %w", e.err)
	}
	v.node.Drain()
	e := <-ended
	if e.err != nil {
		return "", e.err
	}
	if !e.whole || e.text != guavastandin.Text(model, prompt, longTokens) {
		return "", errors.Newf("the stream was cut off after %d bytes", len(e.text))
	}
	select {
	case err := <-v.done:
		if err != nil {
			return "", err
		}
	case <-time.After(startTimeout):
		return "", errors.Newf("the VM still ran %s after the stream ended", startTimeout)
	}
	return "whole stream, then the process ended", nil
}
