package guavastandin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavaschema"
)

const (
	maxMessage = 64 << 20  // bytes of one gRPC message
	objectPart = 256 << 10 // bytes of an object in one message
	// minPing is the time between pings below which a client is cut off; clients ping every 10 s.
	minPing = 5 * time.Second
)

// PlatformServer serves a Platform over gRPC. The metadata "vm" and "domain" of a call name the calling VM, so that
// cut-offs apply to it.
type PlatformServer struct {
	guavaschema.UnimplementedPlatformServer
	p *Platform
}

// NewPlatformServer returns a gRPC server for p that is not yet listening.
func NewPlatformServer(p *Platform) *grpc.Server {
	s := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPing}))
	RegisterPlatform(s, p)
	return s
}

// RegisterPlatform makes s serve p.
func RegisterPlatform(s grpc.ServiceRegistrar, p *Platform) {
	guavaschema.RegisterPlatformServer(s, &PlatformServer{p: p})
}

// ServePlatform serves p on l until ctx ends.
func ServePlatform(ctx context.Context, p *Platform, l net.Listener) error {
	s := NewPlatformServer(p)
	stop := context.AfterFunc(ctx, s.Stop)
	defer stop()
	if err := s.Serve(l); err != nil && ctx.Err() == nil {
		return errors.Newf("serve platform: %w", err)
	}
	return nil
}

func (s *PlatformServer) view(ctx context.Context) *PlatformView {
	md, _ := metadata.FromIncomingContext(ctx)
	first := func(key string) string {
		if v := md.Get(key); len(v) > 0 {
			return v[0]
		}
		return ""
	}
	return s.p.For(first("domain"), first("vm"))
}

// platformStatus turns an error of the platform into a gRPC status.
func platformStatus(err error) error {
	code := codes.InvalidArgument
	switch {
	case err == nil:
		return nil
	case errors.Is(err, guavaplatform.ErrAbsent):
		code = codes.NotFound
	case errors.Is(err, guavaplatform.ErrConflict):
		code = codes.FailedPrecondition
	case errors.Is(err, guavaplatform.ErrUnavailable):
		code = codes.Unavailable
	case errors.Is(err, guavaplatform.ErrUnknown):
		code = codes.Unknown
	}
	return status.Error(code, err.Error())
}

func rowMessage(r guavaplatform.Row) *guavaschema.Row {
	return &guavaschema.Row{Key: r.Key, Value: r.Value, Revision: r.Revision}
}

// Read implements guavaschema.PlatformServer.
func (s *PlatformServer) Read(ctx context.Context, q *guavaschema.ReadRequest) (*guavaschema.Row, error) {
	row, err := s.view(ctx).Read(ctx, q.GetKey())
	if err != nil {
		return nil, platformStatus(err)
	}
	return rowMessage(row), nil
}

// Scan implements guavaschema.PlatformServer.
func (s *PlatformServer) Scan(ctx context.Context, q *guavaschema.ScanRequest) (*guavaschema.ScanReply, error) {
	rows, err := s.view(ctx).Scan(ctx, q.GetPrefix(), q.GetAfter(), int(q.GetLimit()))
	if err != nil {
		return nil, platformStatus(err)
	}
	reply := &guavaschema.ScanReply{Rows: make([]*guavaschema.Row, 0, len(rows))}
	for _, r := range rows {
		reply.Rows = append(reply.Rows, rowMessage(r))
	}
	return reply, nil
}

// Commit implements guavaschema.PlatformServer.
func (s *PlatformServer) Commit(ctx context.Context, q *guavaschema.CommitRequest) (*guavaschema.CommitReply, error) {
	checks := make([]guavaplatform.Check, 0, len(q.GetChecks()))
	for _, c := range q.GetChecks() {
		checks = append(checks, guavaplatform.Check{Key: c.GetKey(), Revision: c.GetRevision()})
	}
	writes := make([]guavaplatform.Write, 0, len(q.GetWrites()))
	for _, w := range q.GetWrites() {
		writes = append(writes, guavaplatform.Write{Key: w.GetKey(), Value: w.GetValue(), Delete: w.GetDelete()})
	}
	if err := s.view(ctx).Commit(ctx, checks, writes); err != nil {
		return nil, platformStatus(err)
	}
	return &guavaschema.CommitReply{}, nil
}

// Put implements guavaschema.PlatformServer.
func (s *PlatformServer) Put(stream grpc.ClientStreamingServer[guavaschema.ObjectPart, guavaschema.PutReply]) error {
	var key string
	var body bytes.Buffer
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if part.GetKey() != "" {
			key = part.GetKey()
		}
		body.Write(part.GetData())
	}
	if err := s.view(stream.Context()).Put(stream.Context(), key, &body); err != nil {
		return platformStatus(err)
	}
	return stream.SendAndClose(&guavaschema.PutReply{})
}

// Get implements guavaschema.PlatformServer.
func (s *PlatformServer) Get(q *guavaschema.ObjectRequest, stream grpc.ServerStreamingServer[guavaschema.ObjectPart]) error {
	body, err := s.view(stream.Context()).Get(stream.Context(), q.GetKey())
	if err != nil {
		return platformStatus(err)
	}
	defer body.Close()
	part := make([]byte, objectPart)
	for {
		n, err := body.Read(part)
		if n > 0 {
			if err := stream.Send(&guavaschema.ObjectPart{Key: q.GetKey(), Data: part[:n]}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return platformStatus(err)
		}
	}
}

// List implements guavaschema.PlatformServer.
func (s *PlatformServer) List(ctx context.Context, q *guavaschema.ScanRequest) (*guavaschema.ListReply, error) {
	keys, err := s.view(ctx).List(ctx, q.GetPrefix(), q.GetAfter(), int(q.GetLimit()))
	if err != nil {
		return nil, platformStatus(err)
	}
	return &guavaschema.ListReply{Keys: keys}, nil
}

// Delete implements guavaschema.PlatformServer.
func (s *PlatformServer) Delete(ctx context.Context, q *guavaschema.ObjectRequest) (*guavaschema.DeleteReply, error) {
	if err := s.view(ctx).Delete(ctx, q.GetKey()); err != nil {
		return nil, platformStatus(err)
	}
	return &guavaschema.DeleteReply{}, nil
}

// Machines implements guavaschema.PlatformServer.
func (s *PlatformServer) Machines(ctx context.Context, _ *guavaschema.MachinesRequest) (*guavaschema.MachinesReply, error) {
	list, err := s.view(ctx).Machines(ctx)
	if err != nil {
		return nil, platformStatus(err)
	}
	reply := &guavaschema.MachinesReply{Machines: make([]*guavaschema.Machine, 0, len(list))}
	for _, m := range list {
		reply.Machines = append(reply.Machines, &guavaschema.Machine{
			Name: m.Name, Domain: m.Domain, Address: m.Address, Leaving: m.Leaving,
		})
	}
	return reply, nil
}

// Fetch implements guavaschema.PlatformServer.
func (s *PlatformServer) Fetch(ctx context.Context, q *guavaschema.FetchRequest) (*guavaschema.FetchReply, error) {
	size, err := s.view(ctx).Fetch(ctx, q.GetName())
	if err != nil {
		return nil, platformStatus(err)
	}
	return &guavaschema.FetchReply{Bytes: size}, nil
}

// PlatformFault is the body of POST /fault. Fields that are absent stay as they are.
type PlatformFault struct {
	Down          *bool           `json:"down,omitempty"`
	Delay         *int64          `json:"delay,omitempty"` // milliseconds
	LoseResponses *int            `json:"lose,omitempty"`  // next commits whose answer is lost
	VMs           map[string]bool `json:"vms,omitempty"`   // cut off, by VM
	Domains       map[string]bool `json:"domains,omitempty"`
}

// PlatformFaults returns the HTTP interface of p's faults: POST /fault with a PlatformFault, GET /counts.
func PlatformFaults(p *Platform) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var f PlatformFault
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20))
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if f.Down != nil {
			p.SetDown(*f.Down)
		}
		if f.Delay != nil {
			p.SetDelay(time.Duration(*f.Delay) * time.Millisecond)
		}
		if f.LoseResponses != nil {
			p.LoseResponses(*f.LoseResponses)
		}
		for vm, cut := range f.VMs {
			p.PartitionVM(vm, cut)
		}
		for domain, cut := range f.Domains {
			p.PartitionDomain(domain, cut)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(p.Counts()); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	return m
}
