// Package guavaremote implements the platform interfaces as a gRPC client.
package guavaremote

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"

	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavaschema"
)

const (
	maxMessageBytes   = 64 << 20  // bytes of one gRPC message
	objectPartBytes   = 256 << 10 // bytes of an object in one message
	maxReconnectDelay = 2 * time.Second
	pingInterval      = 10 * time.Second // the minimum that gRPC allows
	pingTimeout       = 3 * time.Second
)

// Client is a guavaplatform.Platform that calls the platform over gRPC.
type Client struct {
	conn   *grpc.ClientConn
	client guavaschema.PlatformClient
	domain string
	vm     string
}

var _ guavaplatform.Platform = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithVM sets the VM and the failure domain that are sent to the platform as the caller.
func WithVM(domain, vm string) Option {
	return func(c *Client) { c.domain, c.vm = domain, vm }
}

// New returns a client of the platform at address, an IP address and port. It connects on the first call.
func New(address string, opts ...Option) (*Client, error) {
	c := &Client{}
	for _, o := range opts {
		o(c)
	}
	// The default delay between connection attempts grows to 2 minutes, which would delay recovery after an outage.
	reconnect := backoff.DefaultConfig
	reconnect.MaxDelay = maxReconnectDelay
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: maxReconnectDelay}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithStatsHandler(progressHandler{}),
		// A network partition drops packets without a reset. Without pings, the dead connection would be detected only
		// after minutes.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithNoProxy(),
		// A retry inside gRPC would hide that an earlier attempt may have taken effect.
		grpc.WithDisableRetry(),
	)
	if err != nil {
		return nil, errors.Newf("create platform client: %w", err)
	}
	c.conn, c.client = conn, guavaschema.NewPlatformClient(conn)
	return c, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// callContext returns a context with the metadata of the calling VM, and the progress that the call records in it.
func (c *Client) callContext(ctx context.Context) (context.Context, *callProgress) {
	ctx = metadata.AppendToOutgoingContext(ctx, "vm", c.vm, "domain", c.domain)
	g := &callProgress{}
	return context.WithValue(ctx, progressKey{}, g), g
}

// Read implements Table.
func (c *Client) Read(ctx context.Context, key string) (guavaplatform.Row, error) {
	ctx, _ = c.callContext(ctx)
	r, err := c.client.Read(ctx, &guavaschema.ReadRequest{Key: key})
	if err != nil {
		return guavaplatform.Row{}, fmt.Errorf("read %s: %w", key, readError(err))
	}
	return guavaplatform.Row{Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision()}, nil
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]guavaplatform.Row, error) {
	ctx, _ = c.callContext(ctx)
	reply, err := c.client.Scan(ctx, &guavaschema.ScanRequest{Prefix: prefix, After: after, Limit: int32(limit)})
	if err != nil {
		return nil, fmt.Errorf("scan %s: %w", prefix, readError(err))
	}
	rows := make([]guavaplatform.Row, 0, len(reply.GetRows()))
	for _, r := range reply.GetRows() {
		rows = append(rows, guavaplatform.Row{Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision()})
	}
	return rows, nil
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, checks []guavaplatform.Check, writes []guavaplatform.Write) error {
	if len(writes) > guavaplatform.MaxWrites {
		return errors.Newf("commit of %d writes: at most %d are allowed", len(writes), guavaplatform.MaxWrites)
	}
	q := &guavaschema.CommitRequest{
		Checks: make([]*guavaschema.Check, 0, len(checks)),
		Writes: make([]*guavaschema.Write, 0, len(writes)),
	}
	for _, k := range checks {
		q.Checks = append(q.Checks, &guavaschema.Check{Key: k.Key, Revision: k.Revision})
	}
	for _, w := range writes {
		q.Writes = append(q.Writes, &guavaschema.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	ctx, g := c.callContext(ctx)
	if _, err := c.client.Commit(ctx, q); err != nil {
		return fmt.Errorf("commit: %w", writeError(err, g))
	}
	return nil
}

// Put implements Objects.
func (c *Client) Put(ctx context.Context, key string, body io.Reader) error {
	// If reading body fails, cancel aborts the stream so that the platform stores nothing.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, g := c.callContext(ctx)
	stream, err := c.client.Put(ctx)
	if err != nil {
		return fmt.Errorf("put %s: %w", key, readError(err))
	}
	part := make([]byte, objectPartBytes)
	for first := true; ; first = false {
		n, readErr := io.ReadFull(body, part)
		if readErr != nil && !errors.Is(readErr, io.EOF) && !errors.Is(readErr, io.ErrUnexpectedEOF) {
			return fmt.Errorf("put %s: read body: %w", key, readErr)
		}
		if n > 0 || first {
			m := &guavaschema.ObjectPart{Data: part[:n]}
			if first {
				m.Key = key
			}
			if err := stream.Send(m); err != nil {
				// The stream failed before its last part, so the object was not stored.
				_, err = stream.CloseAndRecv()
				return fmt.Errorf("put %s: %w", key, readError(err))
			}
		}
		if readErr != nil {
			break
		}
	}
	if _, err := stream.CloseAndRecv(); err != nil {
		return fmt.Errorf("put %s: %w", key, writeError(err, g))
	}
	return nil
}

// Get implements Objects.
func (c *Client) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	ctx, cancel := context.WithCancel(ctx)
	ctx, _ = c.callContext(ctx)
	stream, err := c.client.Get(ctx, &guavaschema.ObjectRequest{Key: key})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("get %s: %w", key, readError(err))
	}
	o := &object{stream: stream, cancel: cancel}
	if err := o.fill(); err != nil && !errors.Is(err, io.EOF) {
		cancel()
		return nil, fmt.Errorf("get %s: %w", key, err)
	}
	return o, nil
}

// List implements Objects.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	ctx, _ = c.callContext(ctx)
	reply, err := c.client.List(ctx, &guavaschema.ScanRequest{Prefix: prefix, After: after, Limit: int32(limit)})
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, readError(err))
	}
	return reply.GetKeys(), nil
}

// Delete implements Objects.
func (c *Client) Delete(ctx context.Context, key string) error {
	ctx, g := c.callContext(ctx)
	if _, err := c.client.Delete(ctx, &guavaschema.ObjectRequest{Key: key}); err != nil {
		return fmt.Errorf("delete %s: %w", key, writeError(err, g))
	}
	return nil
}

// Machines implements Machines.
func (c *Client) Machines(ctx context.Context) ([]guavaplatform.Machine, error) {
	ctx, _ = c.callContext(ctx)
	reply, err := c.client.Machines(ctx, &guavaschema.MachinesRequest{})
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", readError(err))
	}
	list := make([]guavaplatform.Machine, 0, len(reply.GetMachines()))
	for _, m := range reply.GetMachines() {
		list = append(list, guavaplatform.Machine{Name: m.GetName(), Domain: m.GetDomain(), Address: m.GetAddress(), Leaving: m.GetLeaving()})
	}
	return list, nil
}

// Fetch implements Weights.
func (c *Client) Fetch(ctx context.Context, name string) (int64, error) {
	ctx, _ = c.callContext(ctx)
	reply, err := c.client.Fetch(ctx, &guavaschema.FetchRequest{Name: name})
	if err != nil {
		return 0, fmt.Errorf("fetch %s: %w", name, readError(err))
	}
	return reply.GetBytes(), nil
}

// object reads an object from a stream of messages.
type object struct {
	stream   grpc.ServerStreamingClient[guavaschema.ObjectPart]
	cancel   context.CancelFunc
	buffered []byte
	err      error
}

func (o *object) fill() error {
	for len(o.buffered) == 0 && o.err == nil {
		part, err := o.stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			o.err = io.EOF
		case err != nil:
			o.err = readError(err)
		default:
			o.buffered = part.GetData()
		}
	}
	if len(o.buffered) > 0 {
		return nil
	}
	return o.err
}

// Read implements io.Reader.
func (o *object) Read(p []byte) (int, error) {
	if err := o.fill(); err != nil {
		return 0, err
	}
	n := copy(p, o.buffered)
	o.buffered = o.buffered[n:]
	return n, nil
}

// Close implements io.Closer.
func (o *object) Close() error {
	o.cancel()
	return nil
}
