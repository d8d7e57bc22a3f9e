// Package caller is the Go client of gentianflow. It looks up which entry
// hosts serve a service, mints request ids under the ticket of the host it
// sends to first, and when a connection breaks or falls silent it sends the
// same id through another host or attaches again, so that a request runs at
// most once and its answer arrives whole.
//
// Every call ends in one of three ways: an Answer, which is whole; a Failure
// whose Outcome is "not run", which is proved; or a Failure whose Outcome is
// "unknown", when nobody can prove whether the request ran.
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
)

// Failure is the typed error of a call.
type Failure struct {
	Code       string
	Message    string
	Outcome    string        // "not run" or "unknown"
	RequestID  string        // empty when the request never had one
	RetryAfter time.Duration // 0: no advice
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Code, f.Outcome, f.Message)
}

// NotRun reports whether the request provably did not run.
func (f *Failure) NotRun() bool { return f.Outcome == string(failure.NotRun) }

// Observer sees what a Client asks and is told, for recorded histories. Its
// methods are called from the goroutine of the call.
type Observer interface {
	Asked(id string, attempt int, r *Request)
	Told(id string, r *Request, a *Answer, f *Failure)
}

// Options configure a Client.
type Options struct {
	Service          string
	Secret           string   // of the client account
	AvailabilityZone string   // the caller's own; near hosts are preferred
	Hosts            []string // callers' addresses of some entry hosts, for look-ups
	Observer         Observer // may be nil
	Attempts         int      // most attempts of one call; 0 means 6
}

const (
	defaultAttempts = 6
	dialTimeout     = 1 * time.Second
	lookupTimeout   = 2 * time.Second
	// silenceLimit is how long a connection may carry nothing. Hosts send a
	// sign of life every second.
	silenceLimit = 3 * time.Second
	retryPause   = 100 * time.Millisecond
	maxAnswer    = 64 << 20
)

// Client calls one service for one client account. It is safe for
// concurrent use. mu guards hosts, until and bad.
type Client struct {
	opt  Options
	http *http.Client

	mu    sync.Mutex
	hosts []callerapi.LookupHost
	until time.Time
	bad   map[string]time.Time // addresses that failed lately
}

// New makes a client.
func New(opt Options) *Client {
	if opt.Attempts == 0 {
		opt.Attempts = defaultAttempts
	}
	return &Client{opt: opt, http: &http.Client{Transport: newTransport()}, bad: map[string]time.Time{}}
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// lookup returns the hosts to use, best first, from the kept answer or from
// any host that answers.
func (c *Client) lookup(ctx context.Context) ([]callerapi.LookupHost, error) {
	c.mu.Lock()
	hosts, fresh := c.hosts, time.Now().Before(c.until)
	known := append([]callerapi.LookupHost(nil), c.hosts...)
	c.mu.Unlock()
	if fresh {
		return c.usable(hosts), nil
	}
	addresses := append([]string(nil), c.opt.Hosts...)
	for _, h := range known {
		addresses = append(addresses, h.Address)
	}
	var last error = &Failure{Code: string(failure.NoHome), Outcome: string(failure.NotRun), Message: "no host to ask"}
	for _, a := range addresses {
		reply, err := c.lookupAt(ctx, a)
		if err != nil {
			last = err
			continue
		}
		c.mu.Lock()
		c.hosts = reply.Hosts
		c.until = time.Now().Add(time.Duration(reply.TTLMS) * time.Millisecond)
		c.mu.Unlock()
		return c.usable(reply.Hosts), nil
	}
	if len(known) > 0 {
		return c.usable(known), nil
	}
	return nil, last
}

// usable puts hosts that failed lately behind the others, and rotates those
// of the first one's availability zone, so that the calls of one client
// spread over them while the look-up's answer is kept.
func (c *Client) usable(hosts []callerapi.LookupHost) []callerapi.LookupHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts = rotate(hosts)
	var good, bad []callerapi.LookupHost
	for _, h := range hosts {
		if time.Since(c.bad[h.Address]) < silenceLimit {
			bad = append(bad, h)
			continue
		}
		good = append(good, h)
	}
	return append(good, bad...)
}

func rotate(hosts []callerapi.LookupHost) []callerapi.LookupHost {
	near := 0
	for near < len(hosts) && hosts[near].AvailabilityZone == hosts[0].AvailabilityZone {
		near++
	}
	if near < 2 {
		return hosts
	}
	k := rand.IntN(near)
	out := append([]callerapi.LookupHost(nil), hosts[k:near]...)
	out = append(out, hosts[:k]...)
	return append(out, hosts[near:]...)
}

// avoid remembers that a host failed; the kept look-up is asked anew.
func (c *Client) avoid(address string) {
	c.mu.Lock()
	c.bad[address] = time.Now()
	c.until = time.Time{}
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&reply); err != nil {
		return nil, localFailure(err)
	}
	return &reply, nil
}

// localFailure wraps an error of this side before anything was sent.
func localFailure(err error) *Failure {
	return &Failure{Code: string(failure.NoHome), Message: err.Error(), Outcome: string(failure.NotRun)}
}

// readFailure reads the error body of a response.
func readFailure(resp *http.Response, id string) *Failure {
	var body callerapi.ErrorBody
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
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

// ticket reads the incarnation that ids are minted under.
func ticket(h callerapi.LookupHost) (ident.Incarnation, error) {
	return ident.ParseIncarnation(h.Ticket)
}
