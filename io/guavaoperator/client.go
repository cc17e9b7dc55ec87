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
	// maxRounds is the number of times that a call is tried on every VM.
	maxRounds = 2
	// itemPartBytes is the size of a message with items of a job.
	itemPartBytes = 256 << 10
)

// Client is a client of the operator interface. It switches to the next VM if one is unreachable.
type Client struct {
	token string
	conns []*grpc.ClientConn
}

// NewClient returns a client of the VMs at addresses (IP address and port) that authenticates with token. If ca is not
// empty, it names a PEM file with the certificate authority of the VMs and connections use TLS; otherwise they are not
// encrypted.
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

// Close closes the connections.
func (c *Client) Close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Call calls f with one VM after the other until one responds. A call that changes state must carry an operation
// identifier, because f may be retried after an attempt that took effect.
func (c *Client) Call(ctx context.Context, f func(context.Context, guavaschema.OperatorClient) error) error {
	ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+c.token)
	var err error
	for range maxRounds {
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

// receiveReplies calls each with every reply to a change until the VM ends the stream, and returns the last one.
func receiveReplies(stream grpc.ServerStreamingClient[guavaschema.ApplyReply], each func(*guavaschema.ApplyReply)) (*guavaschema.ApplyReply, error) {
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

// Apply sends the declarations, calls each with every reply and returns the last one.
func (c *Client) Apply(ctx context.Context, q *guavaschema.ApplyRequest, each func(*guavaschema.ApplyReply)) (last *guavaschema.ApplyReply, err error) {
	err = c.Call(ctx, func(ctx context.Context, o guavaschema.OperatorClient) error {
		stream, err := o.Apply(ctx, q)
		if err != nil {
			return err
		}
		last, err = receiveReplies(stream, each)
		return err
	})
	return last, err
}

// WithdrawKey withdraws a key, calls each with every reply and returns the last one.
func (c *Client) WithdrawKey(ctx context.Context, q *guavaschema.WithdrawKeyRequest, each func(*guavaschema.ApplyReply)) (last *guavaschema.ApplyReply, err error) {
	err = c.Call(ctx, func(ctx context.Context, o guavaschema.OperatorClient) error {
		stream, err := o.WithdrawKey(ctx, q)
		if err != nil {
			return err
		}
		last, err = receiveReplies(stream, each)
		return err
	})
	return last, err
}

// Audit calls each with every entry after the given version and returns the result of the check.
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

// SubmitJob submits a job with the given items. It uses only the first VM, because items cannot be read twice. A retry
// with the same idempotency key returns the same job.
func (c *Client) SubmitJob(ctx context.Context, j NewJob, items io.Reader) (*guavaschema.JobInfo, error) {
	ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+c.token)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := guavaschema.NewOperatorClient(c.conns[0]).SubmitJob(ctx)
	if err != nil {
		return nil, err
	}
	part := &guavaschema.SubmitJobPart{Account: j.Account, Name: j.Name, Key: j.Key, Due: formatTime(j.Deadline)}
	buffer := make([]byte, itemPartBytes)
	for {
		n, readErr := io.ReadFull(items, buffer)
		if readErr != nil && !errors.Is(readErr, io.EOF) && !errors.Is(readErr, io.ErrUnexpectedEOF) {
			return nil, errors.Newf("read items: %w", readErr)
		}
		part.Data = buffer[:n]
		if err := stream.Send(part); err != nil {
			// CloseAndRecv returns the error of the VM.
			break
		}
		if readErr != nil {
			break
		}
		part = &guavaschema.SubmitJobPart{}
	}
	return stream.CloseAndRecv()
}

// parseDeadline parses a job's deadline, which is an RFC 3339 time or a duration from now.
func parseDeadline(text string) (time.Time, error) {
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
