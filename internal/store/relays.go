package store

import (
	"context"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/peer"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// Relays holds the relays of a host by table.
type Relays struct {
	mu     sync.Mutex
	tables map[string]*Relay
}

// NewRelays returns an empty set.
func NewRelays() *Relays { return &Relays{tables: map[string]*Relay{}} }

// Table returns the relay of a table and creates it on first use.
func (s *Relays) Table(name string) *Relay {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tables[name] == nil {
		s.tables[name] = NewRelay()
	}
	return s.tables[name]
}

// EndWaits ends all waiting calls after the first reader of the store has changed. Otherwise a
// host that becomes the first reader could still wait at its predecessor, while the predecessor
// already asks the new first reader: each would wait for the other, and nobody would read the
// store.
func (s *Relays) EndWaits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.tables {
		r.release()
	}
}

// Serve answers the calls of one host until its stream breaks. role returns the current role of
// this host.
func (s *Relays) Serve(ctx context.Context, st *peer.Stream, role func() Role) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer st.Abort()
	for {
		call := &wire.TableCall{}
		if wire.Read(st.Reader, call) != nil {
			return
		}
		reply := &wire.TableReply{Failure: string(failure.StoreDown)}
		if role := role(); role != Follower {
			reply = s.answer(ctx, call, role)
		}
		// Fails only on a closed stream, as Write then does.
		_ = st.SetWriteDeadline(time.Now().Add(relayMargin))
		if wire.Write(st, reply) != nil {
			return
		}
	}
}

func (s *Relays) answer(ctx context.Context, call *wire.TableCall, role Role) *wire.TableReply {
	relay, begun := s.Table(call.Table), time.Now()
	var rows []Row
	var version Version
	var err error
	whole := false
	switch {
	case call.Snapshot && call.After > 0:
		rows, version, whole, err = relay.Verify(ctx, Version(call.After), call.Digest)
	case call.Snapshot:
		if role == Reader {
			relay.awaitFirstRead(ctx)
		}
		whole = true
		rows, version, err = relay.Snapshot(ctx)
	default:
		wait, evidenceAfter := time.Duration(call.WaitMs)*time.Millisecond, time.Duration(call.EvidenceMs)*time.Millisecond
		if evidenceAfter == 0 {
			evidenceAfter = wait
		}
		rows, version, err = relay.changesOrEvidence(ctx, Version(call.After), wait, evidenceAfter)
	}
	if err != nil {
		return &wire.TableReply{Failure: string(failure.From(err).Code)}
	}
	reply := &wire.TableReply{Version: int64(version), Partial: call.Snapshot && !whole}
	reply.GapMs, reply.ReturnedMs = relay.outage()
	reply.HeldMs, reply.AgeMs = uint32(time.Since(begun).Milliseconds()), uint32(relay.age().Milliseconds()+1)
	requested := rowRange{whole: whole, newest: version}
	if !whole {
		requested.after = Version(call.After)
	}
	relay.pack(reply, requested, rows)
	return reply
}
