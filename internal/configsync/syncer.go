package configsync

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/notify"
	"github.com/gentianflow/gentianflow/internal/platform"
)

// PollPeriod is how often the version row is read. With peers telling each
// other, one host's read is enough for the whole fleet.
const PollPeriod = 2 * time.Second

// InForce is one version of the configuration with its document. Immutable.
type InForce struct {
	Version  uint64
	ChangeID string
	Text     []byte
	Document *config.Document
}

// PeerSource fetches a document above a version from some other host. It
// fails when no peer has one.
type PeerSource func(ctx context.Context, above uint64) (version uint64, changeID string, text []byte, err error)

// Syncer holds the configuration in force. mu guards current, lastStore and
// storeDown.
type Syncer struct {
	table   platform.Table
	objects platform.Objects
	peers   PeerSource
	events  *event.Recorder

	mu        sync.Mutex
	current   *InForce
	lastStore time.Time
	storeDown bool
	wake      chan struct{}

	changed notify.Set
}

// New makes a syncer without a configuration.
func New(table platform.Table, objects platform.Objects, peers PeerSource, events *event.Recorder) *Syncer {
	return &Syncer{
		table: table, objects: objects, peers: peers, events: events,
		lastStore: time.Now(), wake: make(chan struct{}, 1),
	}
}

// Current returns the configuration in force, nil before the first one.
func (s *Syncer) Current() *InForce {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// LastStore is when the table service last answered.
func (s *Syncer) LastStore() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastStore
}

// Subscribe returns a channel that yields a token after each new version.
func (s *Syncer) Subscribe() <-chan struct{} { return s.changed.Subscribe() }

// Wake makes Run look for a newer version at once, because a peer has one.
func (s *Syncer) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run polls until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	tick := time.NewTicker(PollPeriod)
	defer tick.Stop()
	for {
		s.pull(ctx)
		select {
		case <-tick.C:
		case <-s.wake:
			s.pullPeers(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// pull reads the version row, and asks peers when the store does not answer.
func (s *Syncer) pull(ctx context.Context) {
	newest, err := s.newest(ctx)
	if ctx.Err() != nil {
		return
	}
	s.noteStore(err)
	if err != nil {
		s.pullPeers(ctx)
		return
	}
	if newest.Version <= s.version() {
		return
	}
	text, err := s.objects.GetObject(ctx, newest.Object)
	if err == nil && objectName(text) != newest.Object {
		err = failure.New(failure.BadConfig, "object %s has other content", newest.Object)
	}
	if err != nil {
		s.pullPeers(ctx)
		return
	}
	s.take(newest.Version, newest.ChangeID, text, event.ConfigInForce)
}

func (s *Syncer) newest(ctx context.Context) (Change, error) {
	row, err := s.table.Get(ctx, rowKey)
	if err != nil {
		return Change{}, err
	}
	p, err := decodePointer(row.Value)
	return p.newest(), err
}

func (s *Syncer) pullPeers(ctx context.Context) {
	version, changeID, text, err := s.peers(ctx, s.version())
	if err == nil && version > s.version() {
		s.take(version, changeID, text, event.ConfigFromPeer)
	}
}

// noteStore keeps when the store last answered and records its changes.
func (s *Syncer) noteStore(err error) {
	s.mu.Lock()
	was := s.storeDown
	s.storeDown = err != nil
	if err == nil {
		s.lastStore = time.Now()
	}
	s.mu.Unlock()
	switch {
	case err != nil && !was:
		s.events.Record(event.StoreDown, event.Fields{Detail: err.Error()})
	case err == nil && was:
		s.events.Record(event.StoreUp, event.Fields{})
	}
}

func (s *Syncer) version() uint64 {
	if c := s.Current(); c != nil {
		return c.Version
	}
	return 0
}

// take puts a document in force when its version is higher.
//
// Guard: an older document may arrive late, from a slow peer or a store that
// was set back; taking it would undo an accepted change. The version is
// compared under mu, so no order of arrivals steps back.
func (s *Syncer) take(version uint64, changeID string, text []byte, code event.Code) {
	doc, err := config.Decode(text)
	if err != nil {
		s.events.Record(event.ConfigRefused, event.Fields{Detail: err.Error()})
		return
	}
	s.mu.Lock()
	newer := s.current == nil || version > s.current.Version
	if newer {
		s.current = &InForce{Version: version, ChangeID: changeID, Text: bytes.Clone(text), Document: doc}
	}
	s.mu.Unlock()
	if newer {
		s.changed.Notify()
		s.events.Record(code, event.Fields{Detail: versionDetail(version, changeID)})
	}
}
