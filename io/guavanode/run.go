package guavanode

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"guavaridge/io/guavalisten"
	"guavaridge/io/guavapeer"
	"guavaridge/io/guavatransport"
)

// releaseTimeout bounds the release of leases and slot at the end of a drain.
const releaseTimeout = 5 * time.Second

// dialPeer opens a connection to another VM.
func (n *Node) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return n.network.Dial(ctx, "tcp", address)
}

// Drain starts a graceful stop: new connections are rejected, requests in flight end, then Run returns. It may be called
// more than once.
func (n *Node) Drain() { n.once.Do(func() { close(n.drain) }) }

// Run serves until a drain has finished, and returns nil then. When ctx ends, it stops immediately without a drain.
func (n *Node) Run(ctx context.Context) error {
	l, err := n.listen(ctx)
	if err != nil {
		return err
	}
	defer l.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	n.startLeaseRunners(ctx)
	n.peerServer = grpc.NewServer(append(guavapeer.ServerOptions(), n.security.peerOptions...)...)
	n.peer.Register(n.peerServer)
	g.Go(func() error { return ignoreStopped(n.peerServer.Serve(l.peers)) })
	n.operatorServer = grpc.NewServer(n.security.operatorOptions...)
	n.operator.Register(n.operatorServer)
	g.Go(func() error { return ignoreStopped(n.operatorServer.Serve(l.operators)) })
	g.Go(func() error { return n.admin.Serve(l.admin) })
	g.Go(func() error { return n.peer.Run(ctx) })
	g.Go(func() error { return n.serve(ctx, g, l) })
	g.Go(func() error {
		defer cancel()
		n.waitForStop(ctx)
		return nil
	})
	err = g.Wait()
	n.stopLeaseRunners()
	n.leaseRunners.Wait()
	n.client.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// startLeaseRunners starts the runners that claim and renew the slot and the leases of this process, and the runner that
// executes orders under a lease. Their errors are ignored: they return when their context ends.
func (n *Node) startLeaseRunners(ctx context.Context) {
	ctx, n.stopLeaseRunners = context.WithCancel(ctx)
	for _, run := range []func(context.Context) error{n.slots.Run, n.leases.Run, n.orders.Run} {
		n.leaseRunners.Go(func() { _ = run(ctx) })
	}
}

// serve starts serving callers once a configuration is loaded.
func (n *Node) serve(ctx context.Context, g *errgroup.Group, l *listeners) error {
	if err := n.store.Start(ctx, n.fetchPeerSnapshot); err != nil {
		return err
	}
	g.Go(func() error { return n.store.Run(ctx) })
	g.Go(func() error { return n.poller.Run(ctx) })
	g.Go(func() error { return n.announce(ctx) })
	g.Go(func() error { return n.limiterFeed.run(ctx) })
	g.Go(func() error { return n.batchRunner.Run(ctx) })
	n.ready.Store(true)
	n.log.Info("serving", "domain", n.settings.Domain, "version", n.holder.Head(), "callers", n.settings.CallerAddress())
	return n.front.Serve(l.callers)
}

// waitForStop waits until the VM has drained or ctx has ended, and then closes all servers.
func (n *Node) waitForStop(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.drain:
		n.drainRequests(ctx)
	}
	n.ready.Store(false)
	n.front.Close()
	n.stopLeaseRunners()
	n.operatorServer.Stop()
	n.peerServer.Stop()
	_ = n.admin.Close()
}

// drainRequests waits for the requests in flight and then releases the slot and the leases.
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

// release releases the leases and the slot, so that a replacement need not wait until they expire or are reclaimed.
func (n *Node) release() {
	n.stopLeaseRunners()
	n.leaseRunners.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := n.leases.Release(ctx); err != nil {
		n.log.Warn("leases not released", "error", err)
	}
	if err := n.slots.Release(ctx); err != nil {
		n.log.Warn("slot not released", "error", err)
	}
}

// listeners are the listening sockets of a VM.
type listeners struct {
	callers, operators, peers, admin net.Listener
}

func (n *Node) listen(ctx context.Context) (*listeners, error) {
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
		ln, err := guavatransport.Listen(ctx, n.network, a.address, n.log)
		if err != nil {
			l.close()
			return nil, err
		}
		*a.to = guavalisten.Retry(ln, n.log, &n.acceptFailures)
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

// ignoreStopped returns nil for the error of a stopped gRPC server.
func ignoreStopped(err error) error {
	if errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}
