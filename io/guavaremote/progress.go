package guavaremote

import (
	"context"
	"fmt"
	"sync/atomic"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"guavaridge/io/guavaplatform"
)

// callProgress records how far a call got.
type callProgress struct {
	sent      atomic.Bool // a part of the request was passed to the connection
	responded atomic.Bool // the platform's status was received
}

type progressKey struct{}

// progressHandler records the progress of a call in the callProgress of its context. After a connection failure, gRPC
// returns a status that looks like one sent by the platform; only a received trailer distinguishes them.
type progressHandler struct{}

// TagRPC implements stats.Handler.
func (progressHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (progressHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	g, ok := ctx.Value(progressKey{}).(*callProgress)
	if !ok {
		return
	}
	switch s.(type) {
	case *stats.OutHeader, *stats.OutPayload:
		g.sent.Store(true)
	case *stats.InTrailer:
		g.responded.Store(true)
	}
}

// TagConn implements stats.Handler.
func (progressHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (progressHandler) HandleConn(context.Context, stats.ConnStats) {}

// readError converts the error of a call without side effects to the errors of guavaplatform.
func readError(err error) error {
	s, _ := status.FromError(err)
	switch s.Code() {
	case codes.NotFound:
		return fmt.Errorf("%w: %w", guavaplatform.ErrAbsent, err)
	case codes.InvalidArgument, codes.Unimplemented, codes.PermissionDenied, codes.Unauthenticated:
		return err
	default:
		return fmt.Errorf("%w: %w", guavaplatform.ErrUnavailable, err)
	}
}

// writeError converts the error of a call that writes. If no response was received, a request that was sent may have
// taken effect, so its outcome is unknown.
func writeError(err error, g *callProgress) error {
	s, _ := status.FromError(err)
	if !g.responded.Load() {
		if g.sent.Load() {
			return fmt.Errorf("%w: %w", guavaplatform.ErrUnknown, err)
		}
		return fmt.Errorf("%w: %w", guavaplatform.ErrUnavailable, err)
	}
	switch s.Code() {
	case codes.FailedPrecondition:
		return fmt.Errorf("%w: %w", guavaplatform.ErrConflict, err)
	case codes.Unavailable, codes.ResourceExhausted:
		return fmt.Errorf("%w: %w", guavaplatform.ErrUnavailable, err)
	case codes.InvalidArgument, codes.Unimplemented, codes.PermissionDenied, codes.Unauthenticated:
		return err
	default:
		return fmt.Errorf("%w: %w", guavaplatform.ErrUnknown, err)
	}
}
