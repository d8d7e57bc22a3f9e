// Package caller is the Go client of gentianflow. It looks up which entry
// hosts serve a service and generates request ids. An id contains the ticket of
// the host that it is first sent to; the ticket identifies the running process.
// When a connection breaks or times out, the client sends the same id through
// another host or attaches to the answer again, so that a request runs at most
// once and its answer arrives complete.
//
// A Client makes the calls: Do sends a Request, and Attach reads the answer to an
// earlier one. Every call ends in one of three ways: a complete Answer; a Failure with the
// Outcome "not run", if the request provably did not run; or a Failure with the
// Outcome "unknown", if nobody can prove whether the request ran.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/callerapi"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/ident"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

// Failure is the error of a call.
type Failure struct {
	Code       string
	Message    string
	Outcome    string        // "not run" or "unknown"
	RequestID  string        // empty if the request had no id yet
	RetryAfter time.Duration // 0: not specified
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Code, f.Outcome, f.Message)
}

// NotRun reports whether the request provably did not run.
func (f *Failure) NotRun() bool { return f.Outcome == string(failure.NotRun) }

// Observer is notified of the attempts and results of a Client, to record
// histories. Its methods are called from the goroutine of the call.
type Observer interface {
	// Asked is called before each attempt.
	Asked(id string, attempt int, r *Request)
	// Told is called with the result of a call, and with the failure of an
	// attempt whose id is not used again.
	Told(id string, r *Request, a *Answer, f *Failure)
}

// Options configure a Client.
type Options struct {
	Service          string
	Secret           string   // of the client account
	AvailabilityZone string   // of the caller; hosts in it are preferred
	Hosts            []string // caller addresses of some entry hosts, for lookups
	Observer         Observer // may be nil
	Attempts         int      // maximum attempts of one call; 0 means 6
}

const (
	defaultAttempts = 6
	dialTimeout     = 1 * time.Second
	lookupTimeout   = 2 * time.Second
	// idleTimeout is how long a connection may be without incoming data. Hosts
	// send a keep-alive every second.
	idleTimeout    = 3 * time.Second
	retryPause     = 100 * time.Millisecond
	maxAnswerBytes = 64 << 20
)

// Client calls one service for one client account. It is safe for
// concurrent use. mu guards hosts, freshUntil and failed.
type Client struct {
	opt  Options
	http *http.Client

	mu         sync.Mutex
	hosts      []callerapi.LookupHost // result of the last lookup
	freshUntil time.Time
	failed     map[string]time.Time // last failure by address
}

// New returns a client.
func New(opt Options) *Client {
	if opt.Attempts == 0 {
		opt.Attempts = defaultAttempts
	}
	return &Client{opt: opt, http: &http.Client{Transport: upstream.CheckedTransport{Transport: newTransport()}}, failed: map[string]time.Time{}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// lookup returns the hosts to use, best first. It uses the cached result while
// that is valid, and else asks each known host until one answers. If none does,
// it falls back to the expired result.
func (c *Client) lookup(ctx context.Context) ([]callerapi.LookupHost, error) {
	c.mu.Lock()
	hosts, fresh := c.hosts, time.Now().Before(c.freshUntil)
	known := append([]callerapi.LookupHost(nil), c.hosts...)
	c.mu.Unlock()
	if fresh {
		return c.sortHosts(hosts), nil
	}
	addresses := append([]string(nil), c.opt.Hosts...)
	for _, h := range known {
		addresses = append(addresses, h.Address)
	}
	var last error = &Failure{Code: string(failure.NoHome), Outcome: string(failure.NotRun), Message: "no host address for the lookup"}
	for _, a := range addresses {
		reply, err := c.lookupAt(ctx, a)
		if err != nil {
			last = err
			continue
		}
		c.mu.Lock()
		c.hosts = reply.Hosts
		c.freshUntil = time.Now().Add(time.Duration(reply.TTLMS) * time.Millisecond)
		c.mu.Unlock()
		return c.sortHosts(reply.Hosts), nil
	}
	if len(known) > 0 {
		return c.sortHosts(known), nil
	}
	return nil, last
}

// sortHosts returns the hosts in the order in which to try them. It moves hosts that
// failed recently to the end, and rotates those in the availability zone of the
// first one, so that the calls of a client spread over them while the lookup
// result is cached.
func (c *Client) sortHosts(hosts []callerapi.LookupHost) []callerapi.LookupHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts = rotate(hosts)
	var healthy, failed []callerapi.LookupHost
	for _, h := range hosts {
		if time.Since(c.failed[h.Address]) < idleTimeout {
			failed = append(failed, h)
			continue
		}
		healthy = append(healthy, h)
	}
	return append(healthy, failed...)
}

// rotate rotates the leading hosts that share an availability zone by a random
// number of places.
func rotate(hosts []callerapi.LookupHost) []callerapi.LookupHost {
	sameZone := 0
	for sameZone < len(hosts) && hosts[sameZone].AvailabilityZone == hosts[0].AvailabilityZone {
		sameZone++
	}
	if sameZone < 2 {
		return hosts
	}
	k := rand.IntN(sameZone)
	out := append([]callerapi.LookupHost(nil), hosts[k:sameZone]...)
	out = append(out, hosts[:k]...)
	return append(out, hosts[sameZone:]...)
}

// markFailed records that a host failed and invalidates the cached lookup result.
func (c *Client) markFailed(address string) {
	c.mu.Lock()
	c.failed[address] = time.Now()
	c.freshUntil = time.Time{}
	c.mu.Unlock()
}

func (c *Client) lookupAt(ctx context.Context, address string) (*callerapi.LookupReply, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	q := url.Values{"service": {c.opt.Service}, "availability_zone": {c.opt.AvailabilityZone}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/lookup?"+q.Encode(), nil)
	if err != nil {
		return nil, localFailure(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.opt.Secret)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, localFailure(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, readFailure(resp, "")
	}
	var reply callerapi.LookupReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&reply); err != nil {
		return nil, localFailure(err)
	}
	return &reply, nil
}

// localFailure wraps an error that occurred in the client before anything was
// sent.
func localFailure(err error) *Failure {
	return &Failure{Code: string(failure.NoHome), Message: err.Error(), Outcome: string(failure.NotRun)}
}

// readFailure reads the error body of a response. The outcome of a response
// without a valid error body is unknown.
func readFailure(resp *http.Response, id string) *Failure {
	var body callerapi.ErrorBody
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil || json.Unmarshal(text, &body) != nil || body.Error.Code == "" {
		return &Failure{Code: string(failure.Internal), Outcome: string(failure.Unknown), RequestID: id, Message: fmt.Sprintf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))}
	}
	return failureOf(body.Error)
}

func failureOf(d callerapi.ErrorDetail) *Failure {
	return &Failure{
		Code: string(d.Code), Message: d.Message, Outcome: string(d.Outcome), RequestID: d.RequestID,
		RetryAfter: time.Duration(d.RetryAfterMS) * time.Millisecond,
	}
}

// ticket parses the ticket of a host, which is the incarnation of its process.
func ticket(h callerapi.LookupHost) (ident.Incarnation, error) {
	return ident.ParseIncarnation(h.Ticket)
}
