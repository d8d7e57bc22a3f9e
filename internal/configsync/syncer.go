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

// PollPeriod is the interval between two reads of the version row. Since peers exchange their
// version numbers, a read by one host suffices for the whole fleet.
const PollPeriod = 2 * time.Second

// InForce is one version of the configuration with its document. It is immutable.
type InForce struct {
	Version  uint64
	ChangeID string
	Text     []byte
	Document *config.Document
}

// FetchFromPeers fetches a document with a version above the given one from another host. It
// fails if no peer has one.
type FetchFromPeers func(ctx context.Context, above uint64) (version uint64, changeID string, text []byte, err error)

// Syncer maintains the configuration in force. mu guards current, lastStore and storeDown.
type Syncer struct {
	table   platform.Table
	objects platform.Objects
	peers   FetchFromPeers
	events  *event.Recorder

	mu        sync.Mutex
	current   *InForce
	lastStore time.Time
	storeDown bool
	wake      chan struct{}

	changed notify.Set
}

// New returns a syncer without a configuration.
func New(table platform.Table, objects platform.Objects, peers FetchFromPeers, events *event.Recorder) *Syncer {
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

// LastStoreAnswer returns when the table service last answered.
func (s *Syncer) LastStoreAnswer() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastStore
}

// Subscribe returns a channel that receives a value after each new version.
func (s *Syncer) Subscribe() <-chan struct{} { return s.changed.Subscribe() }

// Wake makes Run ask the peers at once. It is called when a peer has a newer version.
func (s *Syncer) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run polls the version row until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	ticker := time.NewTicker(PollPeriod)
	defer ticker.Stop()
	for {
		s.pull(ctx)
		select {
		case <-ticker.C:
		case <-s.wake:
			s.pullPeers(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// pull reads the version row and a newer document. It asks the peers if the store doesn't return
// either of them.
func (s *Syncer) pull(ctx context.Context) {
	newest, err := s.newest(ctx)
	if ctx.Err() != nil {
		return
	}
	s.recordStoreStatus(err)
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
	s.applyIfNewer(newest.Version, newest.ChangeID, text, event.ConfigInForce)
}

func (s *Syncer) newest(ctx context.Context) (Change, error) {
	row, err := s.table.Get(ctx, rowKey)
	if err != nil {
		return Change{}, err
	}
	versions, err := decodeVersionRow(row.Value)
	return versions.newest(), err
}

func (s *Syncer) pullPeers(ctx context.Context) {
	version, changeID, text, err := s.peers(ctx, s.version())
	if err == nil && version > s.version() {
		s.applyIfNewer(version, changeID, text, event.ConfigFromPeer)
	}
}

// recordStoreStatus records when the store last answered, and reports when it becomes
// unavailable or available.
func (s *Syncer) recordStoreStatus(err error) {
	s.mu.Lock()
	wasDown := s.storeDown
	s.storeDown = err != nil
	if err == nil {
		s.lastStore = time.Now()
	}
	s.mu.Unlock()
	switch {
	case err != nil && !wasDown:
		s.events.Record(event.StoreDown, event.Fields{Detail: err.Error()})
	case err == nil && wasDown:
		s.events.Record(event.StoreUp, event.Fields{})
	}
}

func (s *Syncer) version() uint64 {
	if c := s.Current(); c != nil {
		return c.Version
	}
	return 0
}

// applyIfNewer puts a document in force if its version is higher.
//
// An older document may arrive late, from a slow peer or a store that was restored to an older
// state, and would undo an accepted change. The version is compared under mu, so it never
// decreases, whatever the order of arrival.
func (s *Syncer) applyIfNewer(version uint64, changeID string, text []byte, code event.Code) {
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
