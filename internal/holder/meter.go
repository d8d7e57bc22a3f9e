package holder

import (
	"sort"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// meter sums what arrives from each server, so that its home learns of a
// slow one long before an answer is whole. mu guards servers.
type meter struct {
	mu      sync.Mutex
	servers map[ident.ServerID]*served
}

type served struct {
	tokens  int
	active  int
	since   time.Time // of the running sum
	seqTime time.Duration
}

func (m *meter) at(id ident.ServerID) *served {
	if m.servers == nil {
		m.servers = map[ident.ServerID]*served{}
	}
	s := m.servers[id]
	if s == nil {
		s = &served{since: time.Now()}
		m.servers[id] = s
	}
	return s
}

// advance adds the streaming time up to now. The caller holds mu.
func (s *served) advance(now time.Time) {
	s.seqTime += time.Duration(s.active) * now.Sub(s.since)
	s.since = now
}

// stream counts a sequence that streams (+1) or stops (-1).
func (m *meter) stream(id ident.ServerID, delta int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.at(id)
	s.advance(time.Now())
	s.active += delta
}

func (m *meter) token(id ident.ServerID) {
	m.mu.Lock()
	m.at(id).tokens++
	m.mu.Unlock()
}

// frames appends one progress frame for each server that streamed.
func (m *meter) frames(out []*wire.Frame) []*wire.Frame {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]ident.ServerID, 0, len(m.servers))
	for id := range m.servers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	now := time.Now()
	for _, id := range ids {
		s := m.servers[id]
		s.advance(now)
		if s.seqTime > 0 || s.tokens > 0 {
			out = append(out, &wire.Frame{Body: &wire.Frame_Progress{Progress: &wire.Progress{
				Server: uint32(id), Tokens: uint32(s.tokens), SeqTimeUs: uint64(s.seqTime.Microseconds()),
			}}})
		}
		s.tokens, s.seqTime = 0, 0
	}
	return out
}
