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

// Load is a server's load report. AgeMillis is its age as stated by the server.
type Load struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	AgeMillis   int64  `json:"age_ms"`
	Draining    bool   `json:"draining"`
}

// Age returns the age of the report when it was sent.
func (l Load) Age() time.Duration { return time.Duration(l.AgeMillis) * time.Millisecond }

// CacheEvent reports that a server stored a prompt prefix in its KV cache or
// evicted it. Sequence numbers are consecutive unless events were lost.
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

// Keys returns the stored and evicted keys of a page, its newest sequence number
// and the age of its oldest event. gap reports whether events before or within
// the page are missing; last is the last sequence number seen before.
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

// Watcher reads a server's load reports and cache events.
type Watcher struct {
	base   string
	client *http.Client
}

const (
	requestTimeout = 1 * time.Second
	maxReportBytes = 4 << 20
)

// NewWatcher returns a watcher that uses a shared transport.
func NewWatcher(address string, t http.RoundTripper) *Watcher {
	return &Watcher{base: "http://" + address, client: &http.Client{Transport: t, Timeout: requestTimeout}}
}

// Load reads the load report.
func (w *Watcher) Load(ctx context.Context) (Load, error) {
	var l Load
	err := w.get(ctx, "/v1/load", &l)
	return l, err
}

// CacheEvents reads the cache events after a sequence number.
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
		return failure.Wrap(failure.NoServer, err, "read %s", path)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.NoServer, "%s answered %d", path, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return failure.Wrap(failure.NoServer, err, "read %s", path)
	}
	return failure.Wrap(failure.NoServer, json.Unmarshal(body, into), "%s", fmt.Sprintf("decode %s", path))
}
