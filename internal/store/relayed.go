package store

import (
	"context"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/wire"
)

const (
	// relayWait is how long a call to the relay waits. It bounds how long this
	// host waits at one that is the home no more.
	relayWait   = 1 * time.Second
	relayMargin = 1500 * time.Millisecond
	relayDial   = 300 * time.Millisecond
	// relayPause is how long the store is read directly after the relay failed.
	relayPause = 700 * time.Millisecond
)

// Home is the host that reads the store for the others.
type Home interface {
	// Name names it now; ok is false when that is this host, or nobody.
	Name() (name string, ok bool)
	// Open opens a stream to the host of a name.
	Open(ctx context.Context, name string) (*peer.Stream, error)
}

// Relayed reads a table from the home's relay while that has fresh news, and
// from the store itself otherwise. It belongs to one Watcher, whose goroutine
// alone uses it.
type Relayed struct {
	direct Tables
	home   Home
	of     string // the host that stream goes to
	stream *peer.Stream
	pause  time.Time // no relay before
	newest int64     // version seen; the relay may be behind
}

// NewRelayed makes the reader of one table.
func NewRelayed(direct Tables, home Home) *Relayed {
	return &Relayed{direct: direct, home: home}
}

// Snapshot implements Tables.
//
// Guard: the relay may be behind what this host has read from the store. Its
// table would bring back a server that has left; then the store is read.
func (r *Relayed) Snapshot(ctx context.Context, table string) ([]Row, int64, error) {
	rows, version, err := r.call(ctx, &wire.TableCall{Table: table, Snapshot: true}, relayMargin)
	if err != nil || version < r.newest {
		rows, version, err = r.direct.Snapshot(ctx, table)
	}
	r.newest = max(r.newest, version)
	return rows, version, err
}

// Changes implements Tables.
func (r *Relayed) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	call := &wire.TableCall{Table: table, After: after, WaitMs: uint32(relayWait.Milliseconds())}
	rows, version, err := r.call(ctx, call, relayWait+relayMargin)
	if err != nil && !failure.Is(err, failure.HistoryLost) {
		rows, version, err = r.direct.Changes(ctx, table, after, wait)
	}
	r.newest = max(r.newest, version)
	return rows, version, err
}

// call asks the relay. Any failure but HistoryLost means: read the store.
func (r *Relayed) call(ctx context.Context, call *wire.TableCall, timeout time.Duration) ([]Row, int64, error) {
	if time.Now().Before(r.pause) {
		return nil, 0, errStale
	}
	reply, err := r.exchange(ctx, call, timeout)
	if err == nil && reply.Failure == string(failure.HistoryLost) {
		return nil, 0, failure.New(failure.HistoryLost, "the relay has dropped the history asked for")
	}
	if err != nil || reply.Failure != "" {
		if _, other := r.home.Name(); other {
			r.pause = time.Now().Add(relayPause)
		}
		return nil, 0, errStale
	}
	rows, err := unpack(reply)
	if err != nil {
		return nil, 0, err
	}
	return rows, reply.Version, nil
}

func (r *Relayed) exchange(ctx context.Context, call *wire.TableCall, timeout time.Duration) (*wire.TableReply, error) {
	if err := r.connect(ctx); err != nil {
		return nil, err
	}
	st := r.stream
	stop := context.AfterFunc(ctx, st.Abort)
	defer stop()
	_ = st.SetDeadline(time.Now().Add(timeout)) // fails only on a closed stream, as Write then does
	reply := &wire.TableReply{}
	err := wire.Write(st, call)
	if err == nil {
		err = wire.Read(st.R, reply)
	}
	if err != nil {
		st.Abort()
		r.stream = nil
	}
	return reply, err
}

// connect makes the stream go to the host that is the home now.
//
// Guard: after a change of home the new one still has a stream to the old one,
// which now asks the new one in turn. Each would wait for the other, and nobody
// would read the store.
func (r *Relayed) connect(ctx context.Context) error {
	name, ok := r.home.Name()
	if r.stream != nil && (!ok || name != r.of) {
		r.stream.Abort()
		r.stream = nil
	}
	if !ok {
		return errStale
	}
	if r.stream != nil {
		return nil
	}
	dial, cancel := context.WithTimeout(ctx, relayDial)
	defer cancel()
	st, err := r.home.Open(dial, name)
	if err != nil {
		return err
	}
	r.stream, r.of = st, name
	return nil
}

// Relays are the relays of a host by table.
type Relays struct {
	mu     sync.Mutex
	tables map[string]*Relay
}

// NewRelays makes an empty set.
func NewRelays() *Relays { return &Relays{tables: map[string]*Relay{}} }

// Table returns the relay of a table, made on first use.
func (s *Relays) Table(name string) *Relay {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tables[name] == nil {
		s.tables[name] = NewRelay()
	}
	return s.tables[name]
}

// Serve answers the calls of one host until its stream breaks. home reports
// whether this host still reads the store for others.
func (s *Relays) Serve(ctx context.Context, st *peer.Stream, home func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer st.Abort()
	for {
		call := &wire.TableCall{}
		if wire.Read(st.R, call) != nil {
			return
		}
		reply := &wire.TableReply{Failure: string(failure.StoreDown)}
		if home() {
			reply = s.answer(ctx, call)
		}
		if !home() {
			reply = &wire.TableReply{Failure: string(failure.StoreDown)}
		}
		_ = st.SetWriteDeadline(time.Now().Add(relayMargin)) // fails only on a closed stream, as Write then does
		if wire.Write(st, reply) != nil {
			return
		}
	}
}

func (s *Relays) answer(ctx context.Context, call *wire.TableCall) *wire.TableReply {
	relay := s.Table(call.Table)
	var rows []Row
	var version int64
	var err error
	if call.Snapshot {
		rows, version, err = relay.Snapshot()
	} else {
		rows, version, err = relay.Changes(ctx, call.After, time.Duration(call.WaitMs)*time.Millisecond)
	}
	if err != nil {
		return &wire.TableReply{Failure: string(failure.From(err).Code)}
	}
	reply := &wire.TableReply{Version: version}
	relay.pack(reply, span{whole: call.Snapshot, after: call.After, newest: version}, rows)
	return reply
}
