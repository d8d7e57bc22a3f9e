package tunnel

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/reach"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	// nextHostDelay is how long a host may take to reply before the next one is asked as well.
	nextHostDelay = 20 * time.Millisecond
	// maxAsked bounds the hosts that are asked for one tunnel.
	maxAsked = 5
	// confirmations is the number of hosts that must fail to reach a server for it to be at fault,
	// where there are as many.
	confirmations = 2
	// replyMargin is how long after the end of its connection attempt a host may reply.
	replyMargin = 100 * time.Millisecond
)

// Sessions opens streams to other hosts.
type Sessions interface {
	OpenStream(ctx context.Context, to peer.Target, kind wire.StreamKind, service string) (*peer.Stream, error)
}

// Opener opens tunnels through other hosts. mu guards the fields below it.
type Opener struct {
	sessions Sessions
	hosts    Hosts

	mu      sync.Mutex
	carried map[ident.Incarnation]int       // open tunnels by the host that carries them
	failed  map[ident.Incarnation]time.Time // when a host last could not carry one
}

// NewOpener returns an Opener that chooses among hosts.
func NewOpener(sessions Sessions, hosts Hosts) *Opener {
	return &Opener{sessions: sessions, hosts: hosts, carried: map[ident.Incarnation]int{}, failed: map[ident.Incarnation]time.Time{}}
}

// answer is what one host replied.
type answer struct {
	host   Host
	status wire.TunnelStatus
	stream *peer.Stream // of a tunnel, nil if there is none
}

// Open asks other hosts, one after the other, for a connection to a server, until one has it or enough
// of them don't reach it. conn is nil if there is none, or if only a check was wanted.
func (o *Opener) Open(ctx context.Context, r reach.TunnelRequest) (conn net.Conn, via string, found reach.PeerResults) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	candidates := o.candidates(r.Server.ID)
	needed := min(confirmations, len(candidates))
	answers := make(chan answer, len(candidates))
	pending := 0
	ask := func() {
		if len(candidates) > 0 {
			host := candidates[0]
			candidates = candidates[1:]
			pending++
			found.Asked++
			go func() { answers <- o.ask(ctx, host, r) }()
		}
	}
	next := time.NewTimer(nextHostDelay)
	defer next.Stop()
	for ask(); pending > 0 && found.Refused+found.Unreachable < needed; {
		select {
		case a := <-answers:
			pending--
			switch a.status {
			case wire.TunnelStatus_TUNNEL_CONNECTED:
				found.Reached = true
				go discard(answers, pending)
				if a.stream == nil {
					return nil, a.host.Name, found
				}
				return o.track(a), a.host.Name, found
			case wire.TunnelStatus_TUNNEL_REFUSED:
				found.Refused++
			case wire.TunnelStatus_TUNNEL_UNREACHABLE:
				found.Unreachable++
			default:
				o.noteFailure(a.host)
			}
			ask()
			next.Reset(nextHostDelay)
		case <-next.C:
			ask()
			next.Reset(nextHostDelay)
		case <-ctx.Done():
			go discard(answers, pending)
			return nil, "", found
		}
	}
	go discard(answers, pending)
	return nil, "", found
}

// discard closes the tunnels of answers that come too late.
func discard(answers <-chan answer, pending int) {
	for range pending {
		if a := <-answers; a.stream != nil {
			a.stream.Abort()
		}
	}
}

// ask asks one host for a tunnel. The status is unspecified if the host does not reply.
func (o *Opener) ask(ctx context.Context, host Host, r reach.TunnelRequest) answer {
	a := answer{host: host}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout+replyMargin)
	defer cancel()
	st, err := o.sessions.OpenStream(ctx, host.Target, wire.StreamKind_STREAM_TUNNEL, "")
	if err != nil {
		return a
	}
	stop := context.AfterFunc(ctx, st.Abort)
	reply := &wire.TunnelReply{}
	err = wire.Write(st, &wire.TunnelRequest{
		Server: r.Server.ID, Address: r.Server.Address, TimeoutMs: uint32(r.Timeout.Milliseconds()), Check: r.Check,
	})
	if err == nil {
		err = wire.Read(st.Reader, reply)
	}
	if !stop() || err != nil {
		st.Abort()
		return a
	}
	a.status = reply.Status
	if reply.Status == wire.TunnelStatus_TUNNEL_CONNECTED && !r.Check {
		a.stream = st
		return a
	}
	st.Abort()
	return a
}

// track returns the connection of a tunnel and counts it until it is closed.
func (o *Opener) track(a answer) net.Conn {
	inc := a.host.Target.Incarnation
	o.mu.Lock()
	defer o.mu.Unlock()
	o.carried[inc]++
	return &conn{Stream: a.stream, onClose: func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.carried[inc]--; o.carried[inc] <= 0 {
			delete(o.carried, inc)
		}
	}}
}

func (o *Opener) noteFailure(h Host) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failed[h.Target.Incarnation] = time.Now()
}

// Active returns the number of tunnels of this host through others.
func (o *Opener) Active() (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, count := range o.carried {
		n += count
	}
	return n
}
