package guavapeer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"

	"guavaridge/core/guavamember"
	"guavaridge/io/guavaschema"
)

const (
	// keepalivePeriod is the minimum that grpc-go allows.
	keepalivePeriod = 10 * time.Second
	// keepaliveTimeout closes a connection whose data stays unacknowledged, because after a partition TCP's
	// retransmission backoff would delay messages on it.
	keepaliveTimeout = 3 * time.Second
	// linkIdle is the idle time after which the connection to a former target is closed.
	linkIdle = 30 * time.Second
	// bufferSize is the size of a connection's read and write buffers in bytes. Messages are a few hundred bytes.
	bufferSize = 4 << 10
	// windowSize is the flow-control window in bytes. It is fixed because grpc-go's dynamic window estimation costs a
	// ping and its response with each message.
	windowSize = 64 << 10
)

func dialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepalivePeriod, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 500 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: 3 * time.Second},
			MinConnectTimeout: 2 * time.Second,
		}),
		grpc.WithInitialWindowSize(windowSize),
		grpc.WithInitialConnWindowSize(windowSize),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithWriteBufferSize(bufferSize),
		grpc.WithDisableServiceConfig(),
	}
}

// ServerOptions returns the options for a gRPC server that carries the peer service.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepalivePeriod / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 6 * keepalivePeriod, Timeout: keepaliveTimeout}),
		grpc.InitialWindowSize(windowSize),
		grpc.InitialConnWindowSize(windowSize),
		grpc.ReadBufferSize(bufferSize),
		grpc.WriteBufferSize(bufferSize),
	}
}

// heartbeat is the part of a message that is set when a round starts.
type heartbeat struct {
	counter uint64
	payload Payload
	// requestMembers requests the members that the receiver knows.
	requestMembers bool
}

// link is the connection to one address with its stream of messages.
type link struct {
	p          *Peer
	address    string
	conn       *grpc.ClientConn
	client     guavaschema.PeerClient
	heartbeats chan heartbeat
	done       chan struct{}
	lastUsed   time.Time // guarded by Peer.mu
}

func (p *Peer) newLink(address string) *link {
	l := &link{
		p: p, address: address, heartbeats: make(chan heartbeat, 1), done: make(chan struct{}), lastUsed: time.Now(),
	}
	conn, err := grpc.NewClient("passthrough:///"+address, p.dial...)
	if err != nil {
		p.Log.Error("connection setup failed", "address", address, "error", err)
		return l
	}
	l.conn, l.client = conn, guavaschema.NewPeerClient(conn)
	return l
}

// post queues a heartbeat and replaces one that is still queued because a send is blocked.
func (l *link) post(h heartbeat) {
	select {
	case <-l.heartbeats:
	default:
	}
	select {
	case l.heartbeats <- h:
	default:
	}
}

func (l *link) stop() { close(l.done) }

// run sends the heartbeats on a stream, and opens a new stream with the next heartbeat after an error.
func (l *link) run(ctx context.Context) {
	if l.conn == nil {
		return
	}
	defer l.conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-l.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case h := <-l.heartbeats:
			l.exchange(ctx, h)
		}
	}
}

// exchange opens a stream and sends the given heartbeat and the following ones until the stream fails.
func (l *link) exchange(ctx context.Context, h heartbeat) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := l.client.Exchange(ctx)
	if err != nil {
		return
	}
	received := make(chan struct{})
	go func() {
		defer close(received)
		defer cancel()
		var d decoder
		for {
			m, err := stream.Recv()
			if err != nil {
				return
			}
			in, err := d.decode(m)
			if err != nil || !l.p.receive(ctx, in) {
				return
			}
		}
	}()
	e := newEncoder(l.p.self)
	first := true
	for {
		to, known := l.p.Table.ByAddress(l.address)
		o := l.p.compose(to.Identity, h, known)
		o.requestMembers = h.requestMembers || (first && l.p.needsMembers())
		first = false
		if stream.Send(e.encode(o)) != nil {
			break
		}
		l.p.messagesSent.Add(1)
		select {
		case h = <-l.heartbeats:
			continue
		case <-ctx.Done():
		}
		break
	}
	cancel()
	<-received
}

// compose completes a heartbeat for one receiver when it is sent.
func (p *Peer) compose(to guavamember.Identity, h heartbeat, known bool) outgoing {
	o := outgoing{
		counter: h.counter, payload: h.payload, head: p.Changes.Head(), draining: p.Table.Draining(),
	}
	if !known {
		o.payload = Payload{}
		return o
	}
	p.mu.Lock()
	if s, ok := p.lastReceived[to.Name]; ok && s.incarnation == to.Incarnation {
		o.echo = s.counter
		o.age = time.Since(s.at).Truncate(time.Millisecond)
		to.Incarnation = s.incarnation
	}
	p.mu.Unlock()
	if to.Domain != p.self.Domain {
		o.updates = p.Table.Updates()
		return o
	}
	if p.Pool != nil && o.echo != 0 && o.age < maxLendAge {
		o.loans = p.Pool.Offer(to)
	}
	return o
}

// maxLendAge is the age of the receiver's last message from which no loans are offered to it, so that loans to a
// failed VM expire before the VM is suspected.
const maxLendAge = 1500 * time.Millisecond

// needsMembers reports whether this VM knows no live VM of another domain.
func (p *Peer) needsMembers() bool {
	for _, m := range p.Table.Others() {
		if m.State == guavamember.Alive && m.Domain != p.self.Domain {
			return false
		}
	}
	return true
}
