package guavanode

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavajob"
	"guavaridge/io/guavabatch"
	"guavaridge/io/guavaoperator"
	"guavaridge/io/guavapeer"
)

// wakingJobs wakes the batch runners of the failure domain when a job was accepted. Other domains find it when they next
// read unfinished jobs: waking all 340 VMs for each of 77,000 jobs a day would cost 300 reads/s.
type wakingJobs struct {
	guavabatch.Jobs
	wake func()
}

// Submit implements guavabatch.Jobs.
func (w wakingJobs) Submit(ctx context.Context, s guavabatch.Submission) (guavajob.Job, error) {
	j, err := w.Jobs.Submit(ctx, s)
	if err == nil {
		w.wake()
	}
	return j, err
}

// wakeRunners makes the runners of the failure domain look for new jobs.
func (n *Node) wakeRunners() {
	n.runner.Submitted()
	go n.peer.AnnounceNear(context.Background(), guavapeer.Payload{Submitted: true})
}

// operatorJobs implements guavaoperator.Jobs on the batch service, for the jobs of all client accounts.
type operatorJobs struct {
	jobs guavabatch.Jobs
}

// purposeBatch is the purpose of input files in the customary interface.
const purposeBatch = "batch"

// Submit implements guavaoperator.Jobs. All items go to the path of the first one.
func (o operatorJobs) Submit(ctx context.Context, j guavaoperator.NewJob, items io.Reader) (guavaoperator.Job, error) {
	in := bufio.NewReaderSize(items, guavabatch.MaxLineBytes)
	path, err := firstPath(in)
	if err != nil {
		return guavaoperator.Job{}, err
	}
	file, err := o.jobs.Upload(ctx, j.Account, j.Name, purposeBatch, in)
	if err != nil {
		return guavaoperator.Job{}, errors.Newf("store items: %w", err)
	}
	s := guavabatch.Submission{Account: j.Account, File: file.ID, Path: path, Key: j.Key}
	if !j.Deadline.IsZero() {
		s.Window = time.Until(j.Deadline).Round(time.Second).String()
	}
	job, err := o.jobs.Submit(ctx, s)
	if err != nil {
		return guavaoperator.Job{}, errors.Newf("submit job: %w", err)
	}
	return operatorJob(job), nil
}

// firstPath returns the path of the first item without consuming it.
func firstPath(in *bufio.Reader) (string, error) {
	// An input shorter than the buffer ends the peek early, which is no failure.
	data, err := in.Peek(guavabatch.MaxLineBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		return "", errors.Newf("read first item: %w", err)
	}
	line, _, _ := bytes.Cut(data, []byte("\n"))
	var item struct {
		URL string `json:"url"`
	}
	if err := json.Unmarshal(line, &item); err != nil || item.URL == "" {
		return "", errors.Newf("first item has no url: %w", guavabatch.ErrInvalid)
	}
	return item.URL, nil
}

// List implements guavaoperator.Jobs.
func (o operatorJobs) List(ctx context.Context, account, after string, limit int) ([]guavaoperator.Job, error) {
	jobs, _, err := o.jobs.List(ctx, account, after, limit)
	if err != nil {
		return nil, err
	}
	list := make([]guavaoperator.Job, 0, len(jobs))
	for _, j := range jobs {
		list = append(list, operatorJob(j))
	}
	return list, nil
}

// Show implements guavaoperator.Jobs.
func (o operatorJobs) Show(ctx context.Context, id string) (guavaoperator.Job, error) {
	j, err := o.jobs.Show(ctx, "", id)
	return operatorJob(j), err
}

// Cancel implements guavaoperator.Jobs.
func (o operatorJobs) Cancel(ctx context.Context, id string) (guavaoperator.Job, error) {
	j, err := o.jobs.Cancel(ctx, "", id)
	return operatorJob(j), err
}

func operatorJob(j guavajob.Job) guavaoperator.Job {
	return guavaoperator.Job{
		ID: j.ID, Account: j.Account, Name: j.FileName, State: string(j.State), Items: int64(j.Counts.Total), Done: int64(j.Counts.Completed),
		Failed: int64(j.Counts.Failed), Created: time.UnixMilli(j.Created), Deadline: j.DeadlineTime(),
	}
}
