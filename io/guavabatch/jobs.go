package guavabatch

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavajob"
	"guavaridge/io/guavaplatform"
)

// Errors of Jobs. They are matched with errors.Is; errors of the platform pass through.
var (
	// ErrAbsent means that the job or file does not exist or belongs to another client account.
	ErrAbsent = errors.New("no such job or file")
	// ErrInvalid means that the submission can never be accepted.
	ErrInvalid = errors.New("invalid submission")
	// ErrReused means that the idempotency key came before with other content.
	ErrReused = errors.New("the idempotency key belongs to another job")
	// ErrFinal means that the job has already ended.
	ErrFinal = errors.New("the job has already ended")
)

const (
	// defaultWindow is the time to the deadline when the caller gives none.
	defaultWindow = 24 * time.Hour
	// maxWindow is the largest time to the deadline.
	maxWindow = 7 * 24 * time.Hour
)

// Submission describes a new job.
type Submission struct {
	Account string
	// File is the identifier of an uploaded file.
	File string
	// Path is the path to which every item is sent, for example "/v1/chat/completions".
	Path string
	// Key is the caller's idempotency key, or "".
	Key string
	// Window is the time until the deadline as a duration, for example "24h"; empty for the default.
	Window string
	Labels map[string]string
}

// Jobs accepts, shows and cancels jobs. An account of "" stands for all client accounts and is for operators only.
type Jobs interface {
	// Upload stores an input file.
	Upload(ctx context.Context, account, name, purpose string, r io.Reader) (File, error)
	// Submit accepts a job. It returns once the items and the job's row are durable; a resent job is returned as it
	// stands.
	Submit(ctx context.Context, in Submission) (guavajob.Job, error)
	// Show returns a job; the counts of a running job are those of its finished chunks.
	Show(ctx context.Context, account, id string) (guavajob.Job, error)
	// List returns the jobs of an account, newest first, after the job with identifier after.
	List(ctx context.Context, account, after string, limit int) (jobs []guavajob.Job, more bool, err error)
	// Cancel cancels a job. It returns once the cancellation is durable.
	Cancel(ctx context.Context, account, id string) (guavajob.Job, error)
	// Results writes the result lines of finished items, or the error lines, as far as they are there.
	Results(ctx context.Context, account, id string, kind ResultKind, w io.Writer) error
}

// CancelNotifier tells other VMs about a cancelled job. Without it they learn of it within cancelEvery.
type CancelNotifier interface{ NotifyCancel(job string) }

// Service is the default Jobs. It also keeps the files of callers.
type Service struct {
	store    store
	snapshot func() *guavaconfig.Snapshot
	spread   CancelNotifier
}

// NewService returns a Service on the platform's table and objects. spread may be nil.
func NewService(t guavaplatform.Table, o guavaplatform.Objects, snapshot func() *guavaconfig.Snapshot, spread CancelNotifier) *Service {
	return &Service{store: store{table: t, objects: o}, snapshot: snapshot, spread: spread}
}

// Submit implements Jobs.
func (s *Service) Submit(ctx context.Context, in Submission) (guavajob.Job, error) {
	now := time.Now()
	deadline, err := window(in.Window, now)
	if err != nil {
		return guavajob.Job{}, err
	}
	file, err := s.file(ctx, in.Account, in.File)
	if err != nil {
		return guavajob.Job{}, err
	}
	if file.Purpose != purposeBatch {
		return guavajob.Job{}, errors.Newf("the file's purpose is not %q: %w", purposeBatch, ErrInvalid)
	}
	content := guavajob.ContentKey(file.Account, file.Name, file.Content, in.Path)
	if found, err := s.resent(ctx, in, file.Account, content); err != nil || found != nil {
		return deref(found), err
	}
	known, models, err := s.known(in.Path)
	if err != nil {
		return guavajob.Job{}, err
	}
	id := guavajob.ID(content, chunkItems, chunkBytes, strings.Join(models, "\n"))
	r, err := s.store.get(ctx, fileKey(file.ID))
	if err != nil {
		return guavajob.Job{}, err
	}
	defer r.Close()
	parts, err := splitFile(ctx, s.store, id, in.Path, known, r)
	if errors.Is(err, errTooMany) || errors.Is(err, errDuplicate) {
		return guavajob.Job{}, errors.Mark(err, ErrInvalid)
	} else if err != nil {
		return guavajob.Job{}, err
	}
	row := guavajob.Job{
		ID: id, Account: file.Account, FileName: file.Name, ContentHash: file.Content, FileID: file.ID, Path: in.Path,
		Window: in.Window, Labels: in.Labels, State: guavajob.JobRunning,
		Created: now.UnixMilli(), Deadline: deadline.UnixMilli(),
		Models: parts.models, ChunkModels: parts.plan.String(), InvalidLines: parts.bad, InvalidLineCount: parts.badCount,
		Counts:    guavajob.Counts{Total: parts.items + parts.badCount, Failed: parts.badCount},
		Operation: newID(""),
	}
	return s.accept(ctx, in, row, content)
}

// accept writes the rows of a new job in one commit. A commit that loses against the same job sent to another VM
// returns that job.
func (s *Service) accept(ctx context.Context, in Submission, row guavajob.Job, content string) (guavajob.Job, error) {
	keys := []string{jobKey(row.ID), identityKey(row.Account, content)}
	if in.Key != "" {
		keys = append(keys, identityKey(row.Account, guavajob.CallerKey(row.Account, in.Key)))
	}
	identity := marshal(identity{Job: row.ID, Content: content})
	checks := make([]guavaplatform.Check, 0, len(keys))
	writes := append(make([]guavaplatform.Write, 0, 2+len(keys)),
		guavaplatform.Write{Key: listKey("jobs", row.Account, row.Created, row.ID), Value: marshal(row.ID)},
		guavaplatform.Write{Key: activeKey(row), Value: marshal(newActive(row, row.Operation))})
	for i, k := range keys {
		checks = append(checks, guavaplatform.Check{Key: k})
		value := identity
		if i == 0 {
			value = marshal(row)
		}
		writes = append(writes, guavaplatform.Write{Key: k, Value: value})
	}
	err := s.store.commit(ctx, checks, writes, jobKey(row.ID), row.Operation)
	if errors.Is(err, guavaplatform.ErrConflict) {
		found, ferr := s.resent(ctx, in, row.Account, content)
		if ferr != nil {
			return guavajob.Job{}, ferr
		}
		if found != nil {
			return *found, nil
		}
	}
	if err != nil {
		return guavajob.Job{}, errors.Newf("accept job: %w", err)
	}
	return row, nil
}

// identity is the row that leads from an idempotency key or from content to its job.
type identity struct {
	Job     string `json:"job"`
	Content string `json:"content"`
}

// resent returns the job that the submission repeats, or nil.
func (s *Service) resent(ctx context.Context, in Submission, account, content string) (*guavajob.Job, error) {
	keys := []string{content}
	if in.Key != "" {
		keys = append(keys, guavajob.CallerKey(account, in.Key))
	}
	for _, k := range keys {
		found, _, err := read[identity](ctx, s.store.table, identityKey(account, k))
		if errors.Is(err, guavaplatform.ErrAbsent) {
			continue
		} else if err != nil {
			return nil, err
		}
		if found.Content != content {
			return nil, errors.Newf("job %s: %w", found.Job, ErrReused)
		}
		row, _, err := s.store.job(ctx, found.Job)
		if err != nil {
			return nil, err
		}
		return &row, nil
	}
	return nil, nil
}

// known returns the test for declared models on a path, nil for plain services, and the declared models.
func (s *Service) known(path string) (func(string) bool, []string, error) {
	snapshot := s.snapshot()
	route, ok := snapshot.Route(path)
	if !ok {
		return nil, nil, errors.Newf("no route leads to %s: %w", path, ErrInvalid)
	}
	if route.Service != "" {
		return nil, nil, nil
	}
	declared := snapshot.Declarations().Models
	models := make([]string, 0, len(declared))
	for _, m := range declared {
		models = append(models, m.Name)
	}
	slices.Sort(models)
	return func(m string) bool { _, ok := snapshot.Model(m); return ok }, models, nil
}

// Show implements Jobs.
func (s *Service) Show(ctx context.Context, account, id string) (guavajob.Job, error) {
	row, _, err := s.owned(ctx, account, id)
	if err != nil || row.State.Final() {
		return row, err
	}
	counts := guavajob.Counts{Failed: row.InvalidLineCount}
	err = s.store.chunks(ctx, id, 0, func(c chunkRow) bool {
		counts = counts.Add(c.chunk.Counts)
		return true
	})
	counts.Total = row.Counts.Total
	return row.WithCounts(counts), err
}

func (s *Service) owned(ctx context.Context, account, id string) (guavajob.Job, uint64, error) {
	row, revision, err := s.store.job(ctx, id)
	if errors.Is(err, guavaplatform.ErrAbsent) || (err == nil && account != "" && row.Account != account) {
		return row, 0, errors.Newf("job %s: %w", id, ErrAbsent)
	}
	return row, revision, err
}

// List implements Jobs.
func (s *Service) List(ctx context.Context, account, after string, limit int) ([]guavajob.Job, bool, error) {
	if account == "" {
		return s.listAll(ctx, after, limit)
	}
	prefix := listPrefix("jobs", account)
	from := prefix
	if after != "" {
		row, _, err := s.owned(ctx, account, after)
		if err != nil {
			return nil, false, err
		}
		from = listKey("jobs", account, row.Created, row.ID)
	}
	rows, err := s.store.table.Scan(ctx, prefix, from, limit+1)
	if err != nil {
		return nil, false, errors.Newf("list jobs: %w", err)
	}
	more := len(rows) > limit
	rows = rows[:min(len(rows), limit)]
	list := make([]guavajob.Job, 0, len(rows))
	for _, r := range rows {
		row, err := s.Show(ctx, account, r.Key[strings.LastIndexByte(r.Key, '/')+1:])
		if err != nil {
			return nil, false, err
		}
		list = append(list, row)
	}
	return list, more, nil
}

// listAll lists the jobs of all client accounts in the order of their identifiers.
func (s *Service) listAll(ctx context.Context, after string, limit int) ([]guavajob.Job, bool, error) {
	rows, err := s.store.table.Scan(ctx, jobKey(""), jobKey(after), limit+1)
	if err != nil {
		return nil, false, errors.Newf("list jobs: %w", err)
	}
	list := make([]guavajob.Job, 0, len(rows))
	for _, r := range rows[:min(len(rows), limit)] {
		var row guavajob.Job
		if err := json.Unmarshal(r.Value, &row); err != nil {
			return nil, false, errors.Newf("decode %s: %w", r.Key, err)
		}
		list = append(list, row)
	}
	return list, len(rows) > limit, nil
}

// Cancel implements Jobs. The active row changes in the same commit, and each claim of a chunk checks that row, so no
// chunk is claimed after the cancellation.
func (s *Service) Cancel(ctx context.Context, account, id string) (guavajob.Job, error) {
	for {
		row, revision, err := s.owned(ctx, account, id)
		if err != nil {
			return row, err
		}
		if row.State == guavajob.JobCancelling || row.State == guavajob.JobCancelled {
			return row, nil
		}
		next, err := row.WithEvent(guavajob.JobCancel, time.Now(), newID(""))
		if err != nil {
			return row, errors.Mark(err, ErrFinal)
		}
		err = s.store.commit(ctx,
			[]guavaplatform.Check{{Key: jobKey(id), Revision: revision}},
			[]guavaplatform.Write{
				{Key: jobKey(id), Value: marshal(next)},
				{Key: activeKey(next), Value: marshal(newActive(next, next.Operation))},
				{Key: cancelKey(id), Value: marshal(id)},
			}, jobKey(id), next.Operation)
		if errors.Is(err, guavaplatform.ErrConflict) {
			continue
		}
		if err != nil {
			return row, errors.Newf("cancel job: %w", err)
		}
		if s.spread != nil {
			s.spread.NotifyCancel(id)
		}
		return next, nil
	}
}

// window parses a completion window and returns the deadline.
func window(s string, now time.Time) (time.Time, error) {
	d := defaultWindow
	if s != "" {
		var err error
		if d, err = time.ParseDuration(s); err != nil {
			return now, errors.Mark(errors.Newf("completion window: %w", err), ErrInvalid)
		}
	}
	if d <= 0 || d > maxWindow {
		return now, errors.Newf("completion window %q is not between 0 and %s: %w", s, maxWindow, ErrInvalid)
	}
	return now.Add(d), nil
}

func deref(j *guavajob.Job) guavajob.Job {
	if j == nil {
		return guavajob.Job{}
	}
	return *j
}
