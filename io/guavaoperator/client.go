package guavaoperator

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"guavaridge/io/guavaschema"
)

const (
	// rounds is how often the client goes over its VMs before it gives up.
	rounds = 2
	// itemPart is the size in bytes of the parts in which the items of a job are sent.
	itemPart = 256 << 10
)

// Client is an operator's client. It turns to the next VM when one cannot be reached.
type Client struct {
	token string
	conns []*grpc.ClientConn
}

// NewClient returns a client of the VMs at addresses (IP number and port) for the operator with the token. Connections are
// encrypted when ca names a PEM file of the authority of the VMs' certificates, and not when it is empty.
func NewClient(token, ca string, addresses ...string) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("no address of a VM was given")
	}
	transport := insecure.NewCredentials()
	if ca != "" {
		var err error
		if transport, err = credentials.NewClientTLSFromFile(ca, ""); err != nil {
			return nil, errors.Newf("read certificate authority: %w", err)
		}
	}
	c := &Client{token: token}
	for _, a := range addresses {
		conn, err := grpc.NewClient("passthrough:///"+a, grpc.WithTransportCredentials(transport), grpc.WithNoProxy())
		if err != nil {
			return nil, errors.Newf("connect to %s: %w", a, err)
		}
		c.conns = append(c.conns, conn)
	}
	return c, nil
}

// Close ends the connections.
func (c *Client) Close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Call calls f with one VM after the other until one answers. A call that changes something must carry an operation
// identifier, because f may run again after its first run took effect.
func (c *Client) Call(ctx context.Context, f func(context.Context, guavaschema.OperatorClient) error) error {
	ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+c.token)
	var err error
	for range rounds {
		for _, conn := range c.conns {
			err = f(ctx, guavaschema.NewOperatorClient(conn))
			code := status.Code(err)
			if code != codes.Unavailable && code != codes.Unknown || ctx.Err() != nil {
				return err
			}
		}
	}
	return err
}

// follow reads the replies of a change until it is in force everywhere or the VM stops waiting.
func follow(stream grpc.ServerStreamingClient[guavaschema.ApplyReply], each func(*guavaschema.ApplyReply)) (*guavaschema.ApplyReply, error) {
	var last *guavaschema.ApplyReply
	for {
		reply, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF) && last != nil:
			return last, nil
		case err != nil:
			return last, err
		}
		last = reply
		each(reply)
	}
}

// Apply sends the declarations and calls each with every reply. The last reply is returned.
func (c *Client) Apply(ctx context.Context, q *guavaschema.ApplyRequest, each func(*guavaschema.ApplyReply)) (last *guavaschema.ApplyReply, err error) {
	err = c.Call(ctx, func(ctx context.Context, o guavaschema.OperatorClient) error {
		stream, err := o.Apply(ctx, q)
		if err != nil {
			return err
		}
		last, err = follow(stream, each)
		return err
	})
	return last, err
}

// WithdrawKey withdraws a key and calls each with every reply. The last reply is returned.
func (c *Client) WithdrawKey(ctx context.Context, q *guavaschema.WithdrawKeyRequest, each func(*guavaschema.ApplyReply)) (last *guavaschema.ApplyReply, err error) {
	err = c.Call(ctx, func(ctx context.Context, o guavaschema.OperatorClient) error {
		stream, err := o.WithdrawKey(ctx, q)
		if err != nil {
			return err
		}
		last, err = follow(stream, each)
		return err
	})
	return last, err
}

// Audit calls each with every entry after a version and returns the outcome of the check.
func (c *Client) Audit(ctx context.Context, after uint64, each func(*guavaschema.AuditEntry)) (last *guavaschema.AuditReply, err error) {
	err = c.Call(ctx, func(ctx context.Context, o guavaschema.OperatorClient) error {
		stream, err := o.Audit(ctx, &guavaschema.AuditRequest{After: after})
		if err != nil {
			return err
		}
		for {
			reply, err := stream.Recv()
			if err != nil {
				return err
			}
			if reply.GetDone() {
				last = reply
				return nil
			}
			after = reply.GetEntry().GetVersion()
			each(reply.GetEntry())
		}
	})
	return last, err
}

// SubmitJob sends the items of a job. It uses the first VM only, because items cannot be read twice; sending the job
// again with the same idempotency key is the same job.
func (c *Client) SubmitJob(ctx context.Context, j NewJob, items io.Reader) (*guavaschema.JobInfo, error) {
	ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+c.token)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := guavaschema.NewOperatorClient(c.conns[0]).SubmitJob(ctx)
	if err != nil {
		return nil, err
	}
	part := &guavaschema.SubmitJobPart{Account: j.Account, Name: j.Name, Key: j.Key, Due: timeText(j.Deadline)}
	buffer := make([]byte, itemPart)
	for {
		n, end := io.ReadFull(items, buffer)
		if end != nil && !errors.Is(end, io.EOF) && !errors.Is(end, io.ErrUnexpectedEOF) {
			return nil, errors.Newf("read items: %w", end)
		}
		part.Data = buffer[:n]
		if err := stream.Send(part); err != nil {
			// The VM's own error is received by CloseAndRecv.
			break
		}
		if end != nil {
			break
		}
		part = &guavaschema.SubmitJobPart{}
	}
	return stream.CloseAndRecv()
}

// parseDue parses the time that a job is due, RFC 3339 or a duration from now.
func parseDue(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return time.Now().Add(d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, errors.Newf("due %q: a time like 2030-01-02T15:04:05Z or a duration like 8h is needed", text)
	}
	return t, nil
}
