package guavaoperator

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"guavaridge/io/guavaschema"
)

// NewJob describes a job that is to be submitted.
type NewJob struct {
	Account  string
	Name     string
	Key      string    // idempotency key
	Deadline time.Time // zero for none
}

// Job is a batch job as operators see it.
type Job struct {
	ID       string
	Account  string
	Name     string
	State    string
	Items    int64
	Done     int64
	Failed   int64
	Created  time.Time
	Deadline time.Time // zero for none
}

// Jobs controls batch jobs. Errors that carry a gRPC status reach the operator unchanged.
type Jobs interface {
	// Submit stores a job whose items are JSON lines. It returns once the job is durable.
	Submit(ctx context.Context, j NewJob, items io.Reader) (Job, error)
	// List returns at most limit jobs of an account, or of all when account is empty, after the identifier after.
	List(ctx context.Context, account, after string, limit int) ([]Job, error)
	Show(ctx context.Context, id string) (Job, error)
	Cancel(ctx context.Context, id string) (Job, error)
}

var errNoJobs = status.Error(codes.Unimplemented, "this VM has no batch jobs")

// authorizeJobs is like authorize and fails when there are no jobs.
func (s *Service) authorizeJobs(ctx context.Context, least Role) error {
	if _, err := s.authorize(ctx, least); err != nil {
		return err
	}
	if s.jobs == nil {
		return errNoJobs
	}
	return nil
}

// SubmitJob implements guavaschema.OperatorServer.
func (s *Service) SubmitJob(stream grpc.ClientStreamingServer[guavaschema.SubmitJobPart, guavaschema.JobInfo]) error {
	if err := s.authorizeJobs(stream.Context(), Editor); err != nil {
		return err
	}
	first, err := stream.Recv()
	if err != nil {
		return status.Error(codes.InvalidArgument, "a job needs a first part")
	}
	j := NewJob{Account: first.GetAccount(), Name: first.GetName(), Key: first.GetKey()}
	if first.GetDue() != "" {
		if j.Deadline, err = time.Parse(time.RFC3339, first.GetDue()); err != nil {
			return status.Error(codes.InvalidArgument, "due: "+err.Error())
		}
	}
	job, err := s.jobs.Submit(stream.Context(), j, &itemReader{stream: stream, rest: first.GetData()})
	if err != nil {
		return jobStatus(err)
	}
	return stream.SendAndClose(jobMessage(job))
}

// ListJobs implements guavaschema.OperatorServer.
func (s *Service) ListJobs(ctx context.Context, q *guavaschema.ListJobsRequest) (*guavaschema.ListJobsReply, error) {
	if err := s.authorizeJobs(ctx, Viewer); err != nil {
		return nil, err
	}
	limit := int(q.GetLimit())
	if limit <= 0 || limit > page {
		limit = page
	}
	jobs, err := s.jobs.List(ctx, q.GetAccount(), q.GetAfter(), limit)
	if err != nil {
		return nil, jobStatus(err)
	}
	reply := &guavaschema.ListJobsReply{Jobs: make([]*guavaschema.JobInfo, 0, len(jobs))}
	for _, j := range jobs {
		reply.Jobs = append(reply.Jobs, jobMessage(j))
	}
	return reply, nil
}

// ShowJob implements guavaschema.OperatorServer.
func (s *Service) ShowJob(ctx context.Context, q *guavaschema.JobRequest) (*guavaschema.JobInfo, error) {
	if err := s.authorizeJobs(ctx, Viewer); err != nil {
		return nil, err
	}
	j, err := s.jobs.Show(ctx, q.GetId())
	if err != nil {
		return nil, jobStatus(err)
	}
	return jobMessage(j), nil
}

// CancelJob implements guavaschema.OperatorServer.
func (s *Service) CancelJob(ctx context.Context, q *guavaschema.JobRequest) (*guavaschema.JobInfo, error) {
	if err := s.authorizeJobs(ctx, Editor); err != nil {
		return nil, err
	}
	j, err := s.jobs.Cancel(ctx, q.GetId())
	if err != nil {
		return nil, jobStatus(err)
	}
	return jobMessage(j), nil
}

// jobStatus keeps a gRPC status and maps other errors like those of the store.
func jobStatus(err error) error {
	if _, ok := status.FromError(err); ok {
		return err
	}
	return operatorStatus(err)
}

func jobMessage(j Job) *guavaschema.JobInfo {
	return &guavaschema.JobInfo{
		Id: j.ID, Account: j.Account, Name: j.Name, State: j.State,
		Items: j.Items, Done: j.Done, Failed: j.Failed,
		Created: timeText(j.Created), Due: timeText(j.Deadline),
	}
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

// itemReader reads the items of a job from the parts of its stream.
type itemReader struct {
	stream grpc.ClientStreamingServer[guavaschema.SubmitJobPart, guavaschema.JobInfo]
	rest   []byte
}

// Read implements io.Reader.
func (r *itemReader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		part, err := r.stream.Recv()
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		if err != nil {
			return 0, errors.Newf("receive items: %w", err)
		}
		r.rest = part.GetData()
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}
