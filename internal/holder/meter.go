package holder

import (
	"sort"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// meter sums the tokens received from each server. Reporting them while
// answers still stream lets the home, the host that runs the scheduler, detect
// a slow server long before an answer is complete. mu guards servers.
type meter struct {
	mu      sync.Mutex
	servers map[ident.ServerID]*serverProgress
}

// serverProgress is the progress of one server since the last report. seqTime
// is the streaming time summed over all concurrent streams.
type serverProgress struct {
	tokens  int
	streams int
	since   time.Time // up to which seqTime is counted
	seqTime time.Duration
}

func (m *meter) server(id ident.ServerID) *serverProgress {
	if m.servers == nil {
		m.servers = map[ident.ServerID]*serverProgress{}
	}
	s := m.servers[id]
	if s == nil {
		s = &serverProgress{since: time.Now()}
		m.servers[id] = s
	}
	return s
}

// advance adds the streaming time up to now. The caller holds meter.mu.
func (s *serverProgress) advance(now time.Time) {
	s.seqTime += time.Duration(s.streams) * now.Sub(s.since)
	s.since = now
}

// addActive counts a stream that starts (+1) or ends (-1).
func (m *meter) addActive(id ident.ServerID, delta int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.server(id)
	s.advance(time.Now())
	s.streams += delta
}

func (m *meter) countToken(id ident.ServerID) {
	m.mu.Lock()
	m.server(id).tokens++
	m.mu.Unlock()
}

// frames appends one progress frame for each server that streamed, and resets
// the sums.
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
