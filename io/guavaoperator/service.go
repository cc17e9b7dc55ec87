package guavaoperator

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavaschema"
)

const (
	// defaultWait is how long a change is followed into force; G11 allows 3 s.
	defaultWait = 5 * time.Second
	maxWait     = time.Minute
	// confirmEvery is the time between two looks at the confirmations.
	confirmEvery = 50 * time.Millisecond
	// settleTimeout bounds the settling of a lost answer, which goes on when the operator's connection breaks.
	settleTimeout = 30 * time.Second
)

// Confirmations tells which configuration version is in force on each VM.
type Confirmations interface {
	// Heads returns the newest version known by name of VM, for all VMs that are expected to follow, including this one.
	Heads() map[string]uint64
}

// Drainer starts the drain of a VM.
type Drainer interface {
	// Drain returns once the VM has begun to drain. An unknown VM is an error.
	Drain(ctx context.Context, vm string) error
}

// Service is the gRPC service Operator.
type Service struct {
	guavaschema.UnimplementedOperatorServer
	vm            string
	store         *Store
	accounts      []Account
	confirmations Confirmations
	drainer       Drainer
	jobs          Jobs
}

// ServiceOption sets up a Service.
type ServiceOption func(*Service)

// WithConfirmations tells the service how far versions have come. Without it only this VM is known.
func WithConfirmations(c Confirmations) ServiceOption {
	return func(s *Service) { s.confirmations = c }
}

// WithDrainer makes Drain available.
func WithDrainer(d Drainer) ServiceOption { return func(s *Service) { s.drainer = d } }

// WithJobs makes the calls for jobs available.
func WithJobs(j Jobs) ServiceOption { return func(s *Service) { s.jobs = j } }

// NewService returns the service of the named VM for the operators of its settings.
func NewService(vm string, store *Store, accounts []Account, opts ...ServiceOption) (*Service, error) {
	if err := checkAccounts(accounts); err != nil {
		return nil, err
	}
	s := &Service{vm: vm, store: store, accounts: slices.Clone(accounts)}
	for _, o := range opts {
		o(s)
	}
	return s, nil
}

// Register makes r serve the service.
func (s *Service) Register(r grpc.ServiceRegistrar) { guavaschema.RegisterOperatorServer(r, s) }

// Plan implements guavaschema.OperatorServer.
func (s *Service) Plan(ctx context.Context, q *guavaschema.PlanRequest) (*guavaschema.PlanReply, error) {
	if _, err := s.authorize(ctx, Viewer); err != nil {
		return nil, err
	}
	wanted, err := guavaconfig.Decode(q.GetDeclarations())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	base, delta, err := s.store.Plan(ctx, wanted)
	if err != nil {
		return nil, operatorStatus(err)
	}
	return &guavaschema.PlanReply{Base: base, Diff: delta.String()}, nil
}

// Apply implements guavaschema.OperatorServer.
func (s *Service) Apply(q *guavaschema.ApplyRequest, stream grpc.ServerStreamingServer[guavaschema.ApplyReply]) error {
	operator, err := s.authorize(stream.Context(), Editor)
	if err != nil {
		return err
	}
	meta, err := newMeta(operator, q.GetOperation(), q.GetReason())
	if err != nil {
		return err
	}
	wanted, err := guavaconfig.Decode(q.GetDeclarations())
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	// Whether keys change depends on the version in force, but declaring keys at all is a matter for admins.
	if wanted.Keys != nil && operator.Role != Admin {
		return status.Error(codes.PermissionDenied, "declarations with keys need the role admin")
	}
	ctx, cancel := settling(stream.Context())
	defer cancel()
	r, err := s.store.Apply(ctx, Request{Meta: meta, Base: q.GetBase(), Desired: wanted})
	if err != nil {
		return operatorStatus(err)
	}
	return s.follow(r, q.GetWait(), stream)
}

// WithdrawKey implements guavaschema.OperatorServer.
func (s *Service) WithdrawKey(q *guavaschema.WithdrawKeyRequest, stream grpc.ServerStreamingServer[guavaschema.ApplyReply]) error {
	operator, err := s.authorize(stream.Context(), Admin)
	if err != nil {
		return err
	}
	meta, err := newMeta(operator, q.GetOperation(), q.GetReason())
	if err != nil {
		return err
	}
	ctx, cancel := settling(stream.Context())
	defer cancel()
	r, err := s.store.WithdrawKey(ctx, meta, q.GetName())
	if err != nil {
		return operatorStatus(err)
	}
	return s.follow(r, q.GetWait(), stream)
}

// follow sends how far a version has come until it is in force on all VMs or the wait ends.
func (s *Service) follow(r Result, wait int64, stream grpc.ServerStreamingServer[guavaschema.ApplyReply]) error {
	limit := defaultWait
	if wait > 0 {
		limit = min(time.Duration(wait)*time.Millisecond, maxWait)
	}
	ctx, cancel := context.WithTimeout(stream.Context(), limit)
	defer cancel()
	tick := time.NewTicker(confirmEvery)
	defer tick.Stop()
	last := -1
	for {
		reply := &guavaschema.ApplyReply{Version: r.Version, Diff: r.Delta.String(), Repeated: r.Repeated}
		for vm, v := range s.heads() {
			if v >= r.Version {
				reply.Confirmed++
			} else {
				reply.Missing = append(reply.Missing, vm)
			}
		}
		slices.Sort(reply.Missing)
		reply.Done = len(reply.Missing) == 0 || ctx.Err() != nil
		if int(reply.Confirmed) != last || reply.Done {
			last = int(reply.Confirmed)
			if err := stream.Send(reply); err != nil {
				return err
			}
		}
		if reply.Done {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// heads returns the version in force by VM, with this VM's own.
func (s *Service) heads() map[string]uint64 {
	heads := map[string]uint64{}
	if s.confirmations != nil {
		maps.Copy(heads, s.confirmations.Heads())
	}
	heads[s.vm] = s.store.holder.Head()
	return heads
}

// Get implements guavaschema.OperatorServer.
func (s *Service) Get(ctx context.Context, _ *guavaschema.GetRequest) (*guavaschema.GetReply, error) {
	if _, err := s.authorize(ctx, Viewer); err != nil {
		return nil, err
	}
	now := s.store.holder.Snapshot()
	d := now.Declarations()
	reply := &guavaschema.GetReply{Version: now.Version()}
	for _, k := range d.Keys {
		reply.Keys = append(reply.Keys, &guavaschema.KeyInfo{Name: k.Name, Account: k.Account, Routes: k.Routes})
	}
	d.Keys = nil
	reply.Declarations = guavaconfig.Encode(d)
	return reply, nil
}

// History implements guavaschema.OperatorServer.
func (s *Service) History(ctx context.Context, q *guavaschema.HistoryRequest) (*guavaschema.HistoryReply, error) {
	if _, err := s.authorize(ctx, Viewer); err != nil {
		return nil, err
	}
	limit := int(q.GetLimit())
	if limit <= 0 || limit > page {
		limit = page
	}
	entries, err := s.store.History(ctx, q.GetAfter(), limit)
	if err != nil {
		return nil, operatorStatus(err)
	}
	reply := &guavaschema.HistoryReply{Entries: make([]*guavaschema.AuditEntry, 0, len(entries))}
	for _, e := range entries {
		reply.Entries = append(reply.Entries, entryMessage(e))
	}
	return reply, nil
}

// Audit implements guavaschema.OperatorServer.
func (s *Service) Audit(q *guavaschema.AuditRequest, stream grpc.ServerStreamingServer[guavaschema.AuditReply]) error {
	if _, err := s.authorize(stream.Context(), Viewer); err != nil {
		return err
	}
	a, err := s.store.Audit(stream.Context(), q.GetAfter(), func(e guavaconfig.Entry) error {
		return stream.Send(&guavaschema.AuditReply{Entry: entryMessage(e)})
	})
	if err != nil {
		return operatorStatus(err)
	}
	return stream.Send(&guavaschema.AuditReply{Head: a.Head, Missing: a.Missing, Faults: a.Faults, Done: true})
}

// IssueKey implements guavaschema.OperatorServer.
func (s *Service) IssueKey(ctx context.Context, q *guavaschema.IssueKeyRequest) (*guavaschema.IssueKeyReply, error) {
	operator, err := s.authorize(ctx, Admin)
	if err != nil {
		return nil, err
	}
	meta, err := newMeta(operator, q.GetOperation(), q.GetReason())
	if err != nil {
		return nil, err
	}
	ctx, cancel := settling(ctx)
	defer cancel()
	k, err := s.store.IssueKey(ctx, meta, q.GetAccount(), q.GetRoutes())
	if err != nil {
		return nil, operatorStatus(err)
	}
	return &guavaschema.IssueKeyReply{Name: k.Name, Text: k.Text, Version: k.Version}, nil
}

// Status implements guavaschema.OperatorServer.
func (s *Service) Status(ctx context.Context, _ *guavaschema.StatusRequest) (*guavaschema.StatusReply, error) {
	if _, err := s.authorize(ctx, Viewer); err != nil {
		return nil, err
	}
	heads := s.heads()
	reply := &guavaschema.StatusReply{Vm: s.vm, Version: heads[s.vm], Vms: make([]*guavaschema.VMStatus, 0, len(heads))}
	for _, vm := range slices.Sorted(maps.Keys(heads)) {
		reply.Vms = append(reply.Vms, &guavaschema.VMStatus{Name: vm, Version: heads[vm]})
	}
	return reply, nil
}

// Drain implements guavaschema.OperatorServer.
func (s *Service) Drain(ctx context.Context, q *guavaschema.DrainRequest) (*guavaschema.DrainReply, error) {
	operator, err := s.authorize(ctx, Admin)
	if err != nil {
		return nil, err
	}
	if s.drainer == nil {
		return nil, status.Error(codes.Unimplemented, "this VM cannot drain")
	}
	vm := q.GetVm()
	if vm == "" {
		vm = s.vm
	}
	s.store.logger.Info("drain ordered", "vm", vm, "operator", operator.Name, "reason", q.GetReason())
	if err := s.drainer.Drain(ctx, vm); err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &guavaschema.DrainReply{}, nil
}

// settling returns a context that outlives the operator's connection, so that a change that was begun is settled and
// put in force.
func settling(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
}

func newMeta(operator Account, operation, reason string) (Meta, error) {
	if operation == "" || strings.TrimSpace(reason) == "" {
		return Meta{}, status.Error(codes.InvalidArgument, "an operation identifier and a reason are needed")
	}
	return Meta{Operation: operation, Operator: operator.Name, Reason: reason}, nil
}

func entryMessage(e guavaconfig.Entry) *guavaschema.AuditEntry {
	m := &guavaschema.AuditEntry{
		Version:   e.Version,
		Operation: e.Operation,
		Operator:  e.Operator,
		Time:      e.Time.Format(time.RFC3339Nano),
		Reason:    e.Reason,
		Edits:     make([]*guavaschema.AuditEdit, 0, len(e.Edits)),
	}
	for _, x := range e.Edits {
		m.Edits = append(m.Edits, &guavaschema.AuditEdit{
			Kind: string(x.Kind), Name: x.Name, Before: string(x.Before), After: string(x.After),
		})
	}
	return m
}

// operatorStatus turns an error of the store into a gRPC status.
func operatorStatus(err error) error {
	code := codes.Internal
	var conflict *ConflictError
	var invalid guavaconfig.ValidationErrors
	switch {
	case errors.As(err, &invalid):
		code = codes.InvalidArgument
	case errors.As(err, &conflict):
		code = codes.Aborted
	case errors.Is(err, ErrNoKey), errors.Is(err, guavaplatform.ErrAbsent):
		code = codes.NotFound
	case errors.Is(err, ErrAlreadyIssued), errors.Is(err, ErrOperationUsed):
		code = codes.AlreadyExists
	case errors.Is(err, guavaplatform.ErrUnknown):
		code = codes.Unknown
	case errors.Is(err, guavaplatform.ErrUnavailable):
		code = codes.Unavailable
	}
	return status.Error(code, err.Error())
}
