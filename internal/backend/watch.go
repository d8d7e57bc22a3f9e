package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/prefix"
)

// Load is a server's own report. Age is how old the server says it is.
type Load struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	AgeMillis   int64  `json:"age_ms"`
	Draining    bool   `json:"draining"`
}

// Age returns how old the report was when it was sent.
func (l Load) Age() time.Duration { return time.Duration(l.AgeMillis) * time.Millisecond }

// CacheEvent says that a server stored or evicted a prefix. Sequence numbers
// have no holes unless events were lost.
type CacheEvent struct {
	Seq       uint64 `json:"seq"`
	Key       uint64 `json:"key"`
	Evicted   bool   `json:"evicted"`
	AgeMillis int64  `json:"age_ms"`
}

// CachePage is a batch of cache events.
type CachePage struct {
	Events []CacheEvent `json:"events"`
}

// Keys splits a page into stored and evicted keys and reports whether events
// before or within it are missing, given the last sequence number seen.
func (p CachePage) Keys(last uint64) (stored, evicted []prefix.Key, newest uint64, gap bool, age time.Duration) {
	newest = last
	for _, e := range p.Events {
		gap = gap || e.Seq != newest+1
		newest = e.Seq
		age = max(age, time.Duration(e.AgeMillis)*time.Millisecond)
		if e.Evicted {
			evicted = append(evicted, prefix.Key(e.Key))
		} else {
			stored = append(stored, prefix.Key(e.Key))
		}
	}
	return stored, evicted, newest, gap, age
}

// Watcher reads a server's reports.
type Watcher struct {
	base   string
	client *http.Client
}

const (
	watchTimeout   = 1 * time.Second
	maxWatchAnswer = 4 << 20
)

// NewWatcher makes a watcher over a shared transport.
func NewWatcher(address string, t http.RoundTripper) *Watcher {
	return &Watcher{base: "http://" + address, client: &http.Client{Transport: t, Timeout: watchTimeout}}
}

// Load reads the load report.
func (w *Watcher) Load(ctx context.Context) (Load, error) {
	var l Load
	err := w.get(ctx, "/v1/load", &l)
	return l, err
}

// CacheEvents reads the events after a sequence number.
func (w *Watcher) CacheEvents(ctx context.Context, after uint64) (CachePage, error) {
	var p CachePage
	err := w.get(ctx, "/v1/cache/events?after="+strconv.FormatUint(after, 10), &p)
	return p, err
}

func (w *Watcher) get(ctx context.Context, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, w.base+path, nil)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "watch")
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return failure.Wrap(failure.NoServer, err, "watch %s", path)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.NoServer, "%s answered %d", path, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWatchAnswer))
	if err != nil {
		return failure.Wrap(failure.NoServer, err, "watch %s", path)
	}
	return failure.Wrap(failure.NoServer, json.Unmarshal(body, into), "%s", fmt.Sprintf("decode %s", path))
}
