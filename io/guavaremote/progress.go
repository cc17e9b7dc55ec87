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

// progress records how far a call got.
type progress struct {
	sent     atomic.Bool // a part of the request was handed to the connection
	answered atomic.Bool // the platform's status has arrived
}

type progressKey struct{}

// progressHandler fills in the progress that a call's context carries. A status of the library after a broken
// connection looks like one that the platform sent; only the received trailer tells them apart.
type progressHandler struct{}

// TagRPC implements stats.Handler.
func (progressHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (progressHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	g, ok := ctx.Value(progressKey{}).(*progress)
	if !ok {
		return
	}
	switch s.(type) {
	case *stats.OutHeader, *stats.OutPayload:
		g.sent.Store(true)
	case *stats.InTrailer:
		g.answered.Store(true)
	}
}

// TagConn implements stats.Handler.
func (progressHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (progressHandler) HandleConn(context.Context, stats.ConnStats) {}

// readError maps the failure of a call without a lasting effect to the errors of this package.
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

// writeError maps the failure of a call that writes. Without an answer from the platform, a request that was sent may
// have taken effect.
func writeError(err error, g *progress) error {
	s, _ := status.FromError(err)
	if !g.answered.Load() {
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
