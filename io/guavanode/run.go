package guavanode

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"guavaridge/io/guavapeer"
)

// releaseTime bounds the handing back of the slot at the end of a drain.
const releaseTime = 5 * time.Second

// dialPeer opens a connection to another VM.
func (n *Node) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return n.network.Dial(ctx, "tcp", address)
}

// Drain starts a graceful stop: no new connections, running requests end, then Run returns. It may be called often.
func (n *Node) Drain() { n.once.Do(func() { close(n.drain) }) }

// Run serves until Drain has finished, and returns nil then. When ctx ends, it stops at once, as a lost VM would.
func (n *Node) Run(ctx context.Context) error {
	l, err := n.listen()
	if err != nil {
		return err
	}
	defer l.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	n.hold(ctx)
	n.peers = grpc.NewServer(append(guavapeer.ServerOptions(), n.security.peers...)...)
	n.peer.Register(n.peers)
	g.Go(func() error { return serving(n.peers.Serve(l.peers)) })
	n.control = grpc.NewServer(n.security.operators...)
	n.operator.Register(n.control)
	g.Go(func() error { return serving(n.control.Serve(l.operators)) })
	g.Go(func() error { return n.admin.Serve(l.admin) })
	g.Go(func() error { return n.peer.Run(ctx) })
	g.Go(func() error { return n.serve(ctx, g, l) })
	g.Go(func() error {
		defer cancel()
		n.waitForStop(ctx)
		return nil
	})
	err = g.Wait()
	n.stopHolding()
	n.holdings.Wait()
	n.client.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// hold starts what takes and keeps rows of the table for this process: its slot and its leases, and the acts under them.
// The runners end without an error of interest when their context ends.
func (n *Node) hold(ctx context.Context) {
	ctx, n.stopHolding = context.WithCancel(ctx)
	for _, run := range []func(context.Context) error{n.slots.Run, n.leases.Run, n.orders.Run} {
		n.holdings.Go(func() { _ = run(ctx) })
	}
}

// serve starts serving callers once a configuration is known.
func (n *Node) serve(ctx context.Context, g *errgroup.Group, l *listeners) error {
	if err := n.store.Start(ctx, n.peerState); err != nil {
		return err
	}
	g.Go(func() error { return n.store.Run(ctx) })
	g.Go(func() error { return n.poller.Run(ctx) })
	g.Go(func() error { return n.announce(ctx) })
	g.Go(func() error { return n.feed.run(ctx) })
	g.Go(func() error { return n.runner.Run(ctx) })
	n.ready.Store(true)
	n.log.Info("serving", "domain", n.settings.Domain, "version", n.holder.Head(), "callers", n.settings.CallerAddress())
	return n.front.Serve(l.callers)
}

// waitForStop returns when the VM has drained or ctx has ended, after it closed all servers.
func (n *Node) waitForStop(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.drain:
		n.drainRequests(ctx)
	}
	n.ready.Store(false)
	n.front.Close()
	n.stopHolding()
	n.control.Stop()
	n.peers.Stop()
	_ = n.admin.Close()
}

// drainRequests ends the VM's work without cutting off a request.
func (n *Node) drainRequests(ctx context.Context) {
	n.log.Info("draining", "running", n.front.Running())
	n.ready.Store(false)
	n.table.Leave()
	ctx, cancel := context.WithTimeout(ctx, n.settings.Limits.DrainTime())
	defer cancel()
	if err := n.front.Drain(ctx); err != nil {
		n.log.Warn("requests cut off by the end of the drain time", "error", err)
	}
	if err := n.pipeline.Drain(ctx); err != nil {
		n.log.Warn("results not recorded before the end of the drain time", "error", err)
	}
	n.release()
}

// release hands the slot and leases back, so that a replacement need not wait until they are reclaimed.
func (n *Node) release() {
	n.stopHolding()
	n.holdings.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
	defer cancel()
	if err := n.leases.Release(ctx); err != nil {
		n.log.Warn("leases not handed back", "error", err)
	}
	if err := n.slots.Release(ctx); err != nil {
		n.log.Warn("slot not handed back", "error", err)
	}
}

// listeners are a VM's open addresses.
type listeners struct {
	callers, operators, peers, admin net.Listener
}

func (n *Node) listen() (*listeners, error) {
	l := &listeners{}
	for _, a := range []struct {
		address string
		to      *net.Listener
	}{
		{n.settings.CallerAddress(), &l.callers},
		{n.settings.OperatorAddress(), &l.operators},
		{n.settings.PeerAddress(), &l.peers},
		{n.settings.AdminAddress(), &l.admin},
	} {
		var err error
		if *a.to, err = n.network.Listen(a.address); err != nil {
			l.close()
			return nil, errors.Newf("listen: %w", err)
		}
	}
	return l, nil
}

func (l *listeners) close() {
	for _, o := range []net.Listener{l.callers, l.operators, l.peers, l.admin} {
		if o != nil {
			_ = o.Close()
		}
	}
}

// serving hides the error of a server that was stopped.
func serving(err error) error {
	if errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}
