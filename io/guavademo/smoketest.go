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

// Sizes and bounds of the smoke test.
const (
	shortTokens   = 16
	longTokens    = 400
	endlessTokens = 20_000
	jobItems      = 1000
	longJobItems  = 5000
	longJobTokens = 200
	jobTimeout    = time.Minute
	jobPoll       = 100 * time.Millisecond
	// stopTimeout is the time within which requests with a withdrawn key and items of a cancelled job must have stopped.
	stopTimeout = 3 * time.Second
)

// check is one row of the smoke test's table.
type check struct {
	request     string
	expectation string
	run         func(context.Context) (got string, err error)
}

// SmokeTest makes one request of each kind and prints a table of requests, results, expectations and whether each
// expectation was met. It returns an error unless all were met. It drains the last VM, which stops.
func (d *Deployment) SmokeTest(ctx context.Context, w io.Writer) error {
	failed := 0
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ASKED\tCAME BACK\tPROMISE\tHELD")
	for _, s := range []check{
		{"a completion", "the whole answer to the own request", d.checkCompletion},
		{"a streamed completion", "each token once", d.checkStream},
		{"a booking", "runs once, without the key", d.checkBooking},
		{fmt.Sprintf("a batch job of %d items", jobItems), "each item finishes exactly once", d.checkJob},
		{"a key withdrawn during a stream", "stops within 3 s", d.checkKeyWithdrawal},
		{"a job cancelled while it runs", "stops within 3 s", d.checkJobCancellation},
		{"a VM drained during a stream", "cuts off no request", d.checkDrain},
	} {
		got, err := s.run(ctx)
		met := "yes"
		if err != nil {
			failed++
			met, got = "NO", err.Error()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", s.request, got, s.expectation, met)
	}
	if err := t.Flush(); err != nil {
		return errors.Newf("print table: %w", err)
	}
	if failed > 0 {
		return errors.Newf("%d promises did not hold", failed)
	}
	return nil
}

func (d *Deployment) client(vm int) client {
	return client{address: d.vms[vm].settings.CallerAddress(), key: d.key.Text}
}

func (d *Deployment) checkCompletion(ctx context.Context) (string, error) {
	const prompt = "a caption for the square"
	text, err := d.client(0).complete(ctx, prompt, shortTokens)
	if err != nil {
		return "", err
	}
	if want := guavastandin.Text(model, prompt, shortTokens); text != want {
		return "", errors.Newf("got %q, want %q", text, want)
	}
	return fmt.Sprintf("%d tokens", shortTokens), nil
}

func (d *Deployment) checkStream(ctx context.Context) (string, error) {
	const prompt = "a walk past the artists"
	text, completed, err := d.client(1).stream(ctx, prompt, longTokens, nil)
	if err != nil {
		return "", err
	}
	if want := guavastandin.Text(model, prompt, longTokens); text != want || !completed {
		return "", errors.Newf("got %d bytes, end received: %v; want %d bytes and [DONE]", len(text), completed, len(want))
	}
	return fmt.Sprintf("%d tokens, [DONE]", longTokens), nil
}

func (d *Deployment) checkBooking(ctx context.Context) (string, error) {
	const booking = "pitch-17"
	r, err := d.client(2).post(ctx, "/bookings/confirm?booking="+booking, map[string]string{"artist": "A. Prata"})
	if err != nil {
		return "", err
	}
	if r.status != http.StatusOK {
		return "", errors.Newf("want status 200, got %d: %s", r.status, r.body)
	}
	if n := d.service.Ends(booking); n != 1 {
		return "", errors.Newf("booking ran %d times, want 1", n)
	}
	for _, q := range d.service.Received() {
		if strings.Contains(fmt.Sprint(q), d.key.Text) {
			return "", errors.New("the key reached the backend server")
		}
	}
	return "confirmed, ran once", nil
}

func (d *Deployment) checkJob(ctx context.Context) (string, error) {
	start := time.Now()
	c := d.client(0)
	j, err := c.submitJob(ctx, "night", jobItems, shortTokens)
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

func (d *Deployment) waitForJob(ctx context.Context, c client, id string) (job, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	for {
		j, err := c.getJob(ctx, id)
		if err != nil {
			return job{}, err
		}
		if j.Status == "completed" {
			return j, nil
		}
		select {
		case <-ctx.Done():
			return job{}, errors.Newf("job not completed: status %s with %d of %d items after %s", j.Status, j.Counts.Completed, j.Counts.Total, jobTimeout)
		case <-time.After(jobPoll):
		}
	}
}

// checkResults checks that a result file contains exactly one result for each item and no others.
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
			return errors.Newf("item %d: got %d results, want 1", i, n)
		}
	}
	if len(seen) != items {
		return errors.Newf("got results of %d items, want %d", len(seen), items)
	}
	return nil
}

func (d *Deployment) checkKeyWithdrawal(ctx context.Context) (string, error) {
	issued, err := d.vms[0].node.Store().IssueKey(ctx, d.meta("key to withdraw"), accountName, nil)
	if err != nil {
		return "", err
	}
	if err := d.waitForVersion(ctx); err != nil {
		return "", err
	}
	c := client{address: d.vms[1].settings.CallerAddress(), key: issued.Text}
	first, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		_, _, err := c.stream(ctx, "an endless walk", endlessTokens, first)
		ended <- err
	}()
	select {
	case <-first:
	case err := <-ended:
		return "", errors.Newf("stream did not start: %w", err)
	}
	start := time.Now()
	if _, err := d.vms[0].node.Store().WithdrawKey(ctx, d.meta("withdrawn"), issued.Name); err != nil {
		return "", err
	}
	select {
	case err = <-ended:
	case <-time.After(stopTimeout):
		return "", errors.Newf("stream still ran %s after key withdrawal", stopTimeout)
	}
	if err == nil {
		return "", errors.New("stream with the withdrawn key ended without an error")
	}
	elapsed := time.Since(start)
	if _, retryErr := c.complete(ctx, "again", shortTokens); retryErr == nil {
		return "", errors.New("request with the withdrawn key was accepted")
	}
	return fmt.Sprintf("stopped after %d ms (%v)", elapsed.Milliseconds(), err), nil
}

func (d *Deployment) checkJobCancellation(ctx context.Context) (string, error) {
	c := d.client(1)
	j, err := c.submitJob(ctx, "draft", longJobItems, longJobTokens)
	if err != nil {
		return "", err
	}
	if err := d.waitForRunningItem(ctx); err != nil {
		return "", err
	}
	if _, err := c.send(ctx, http.MethodPost, "/v1/batches/"+j.ID+"/cancel", "application/json", nil); err != nil {
		return "", err
	}
	time.Sleep(stopTimeout)
	before := d.received()
	time.Sleep(time.Second)
	if after := d.received(); after != before || d.running() > 0 {
		return "", errors.Newf("%d items were sent and %d ran more than %s after job cancellation", after-before, d.running(), stopTimeout)
	}
	if j, err = c.getJob(ctx, j.ID); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s, %d of %d items finished", j.Status, j.Counts.Completed, j.Counts.Total), nil
}

// waitForRunningItem waits at most startTimeout until an engine runs an item.
func (d *Deployment) waitForRunningItem(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for d.running() == 0 {
		select {
		case <-ctx.Done():
			return errors.Newf("no item sent to an engine within %s", startTimeout)
		case <-time.After(startPoll):
		}
	}
	return nil
}

// running returns the number of requests that are running or queued on all engines.
func (d *Deployment) running() int {
	n := 0
	for _, e := range d.engines {
		running, queued := e.Running()
		n += running + queued
	}
	return n
}

// received returns the number of requests that the engines have received in total.
func (d *Deployment) received() int {
	n := 0
	for _, e := range d.engines {
		n += len(e.Received())
	}
	return n
}

func (d *Deployment) checkDrain(ctx context.Context) (string, error) {
	const prompt = "the last walk"
	v := d.vms[len(d.vms)-1]
	first := make(chan struct{})
	type result struct {
		text      string
		completed bool
		err       error
	}
	ended := make(chan result, 1)
	go func() {
		text, completed, err := d.client(len(d.vms)-1).stream(ctx, prompt, longTokens, first)
		ended <- result{text, completed, err}
	}()
	select {
	case <-first:
	case r := <-ended:
		return "", errors.Newf("stream did not start: %w", r.err)
	}
	v.node.Drain()
	r := <-ended
	if r.err != nil {
		return "", r.err
	}
	if !r.completed || r.text != guavastandin.Text(model, prompt, longTokens) {
		return "", errors.Newf("stream cut off after %d bytes during drain", len(r.text))
	}
	select {
	case err := <-v.done:
		if err != nil {
			return "", err
		}
	case <-time.After(startTimeout):
		return "", errors.Newf("VM still ran %s after the stream ended", startTimeout)
	}
	return "whole stream, then the process ended", nil
}
