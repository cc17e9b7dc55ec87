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
	// keepalivePeriod is the least that grpc-go allows.
	keepalivePeriod = 10 * time.Second
	// keepaliveTimeout closes a connection whose data stays unacknowledged, so that a healed partition is not
	// held up by the retransmission backoff of TCP.
	keepaliveTimeout = 3 * time.Second
	// linkIdle is the time after which the connection to a former target is closed.
	linkIdle = 30 * time.Second
	// bufferSize is for the read and write buffers of a connection; messages are a few hundred bytes.
	bufferSize = 4 << 10
	// windowSize is fixed because the estimate of a better one costs a ping and its answer with each message.
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

// beat is the part of a message that all targets of a round share.
type beat struct {
	counter uint64
	payload Payload
	// all asks the receiver for the VMs that it knows.
	all bool
}

// link is the connection to one address with its stream of messages.
type link struct {
	p       *Peer
	address string
	conn    *grpc.ClientConn
	client  guavaschema.PeerClient
	beats   chan beat
	done    chan struct{}
	used    time.Time // guarded by Peer.mu
}

func (p *Peer) newLink(address string) *link {
	l := &link{
		p: p, address: address, beats: make(chan beat, 1), done: make(chan struct{}), used: time.Now(),
	}
	conn, err := grpc.NewClient("passthrough:///"+address, p.dial...)
	if err != nil {
		p.Log.Error("cannot make connection", "address", address, "error", err)
		return l
	}
	l.conn, l.client = conn, guavaschema.NewPeerClient(conn)
	return l
}

// post hands a beat to the link and replaces one that is still waiting behind a blocked send.
func (l *link) post(b beat) {
	select {
	case <-l.beats:
	default:
	}
	select {
	case l.beats <- b:
	default:
	}
}

func (l *link) stop() { close(l.done) }

// run sends the beats on a stream that it opens again after an error.
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
		case b := <-l.beats:
			l.converse(ctx, b)
		}
	}
}

// converse opens a stream, sends the first beat and those that follow until the stream breaks.
func (l *link) converse(ctx context.Context, b beat) {
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
		o := l.p.compose(to.Identity, b, known)
		o.all = b.all || (first && l.p.wantsAll())
		first = false
		if stream.Send(e.encode(o)) != nil {
			break
		}
		l.p.messages.Add(1)
		select {
		case b = <-l.beats:
			continue
		case <-ctx.Done():
		}
		break
	}
	cancel()
	<-received
}

// compose completes a beat for one receiver at the time of sending.
func (p *Peer) compose(to guavamember.Identity, b beat, known bool) outgoing {
	o := outgoing{
		counter: b.counter, payload: b.payload, head: p.Changes.Head(), draining: p.Table.Draining(),
	}
	if !known {
		o.payload = Payload{}
		return o
	}
	p.mu.Lock()
	if s, ok := p.seen[to.Name]; ok && s.incarnation == to.Incarnation {
		o.echo = s.counter
		o.age = time.Since(s.at).Truncate(time.Millisecond)
		to.Incarnation = s.incarnation
	}
	p.mu.Unlock()
	if to.Domain != p.self.Domain {
		o.news = p.Table.Updates()
		return o
	}
	if p.Pool != nil && o.echo != 0 && o.age < lendFresh {
		o.loans = p.Pool.Offer(to)
	}
	return o
}

// lendFresh is the age of the receiver's last message from which nothing is lent to it any more, so that loans to
// a dead VM lapse before it is suspected.
const lendFresh = 1500 * time.Millisecond

// wantsAll reports whether the own VM knows too little to take part.
func (p *Peer) wantsAll() bool {
	for _, m := range p.Table.Others() {
		if m.State == guavamember.Alive && m.Domain != p.self.Domain {
			return false
		}
	}
	return true
}
