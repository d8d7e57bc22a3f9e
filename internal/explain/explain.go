// Package explain finds in the logs of all hosts what led to the end of one
// request: its own lines, and what its host and servers went through around
// it.
package explain

import (
	"bufio"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Line is one line of a host's log.
type Line struct {
	At      time.Time
	Host    string
	Name    string // of the event
	Request string
	Service string
	Server  string
	Peer    string
	Detail  string
	Text    string
}

// around is how far from a request's first and last line other events of its
// host and servers are told: longer than membership and the store's watchers
// need to notice a failure.
const around = 3 * time.Second

// Read parses the lines of a log. Lines that are not of ours are left out;
// a line may have other text before its level field.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, 1<<20)
	for scan.Scan() {
		text := scan.Text()
		if i := strings.Index(text, "level="); i >= 0 {
			if l, ok := parse(text[i:]); ok {
				lines = append(lines, l)
			}
		}
	}
	return lines, failure.Wrap(failure.BadRequest, scan.Err(), "read the log")
}

func parse(text string) (Line, bool) {
	l := Line{Text: text}
	dec := logfmt.NewDecoder(strings.NewReader(text))
	if !dec.ScanRecord() {
		return l, false
	}
	for dec.ScanKeyval() {
		value := string(dec.Value())
		switch string(dec.Key()) {
		case "ts":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return l, false
			}
			l.At = at
		case "host":
			l.Host = value
		case "name":
			l.Name = value
		case "request":
			l.Request = value
		case "service":
			l.Service = value
		case "server":
			l.Server = value
		case "peer":
			l.Peer = value
		case "detail":
			l.Detail = value
		}
	}
	return l, dec.Err() == nil && l.Name != "" && !l.At.IsZero()
}

// Story is what the logs tell of one request, in order of time.
type Story struct {
	Request []Line // of the request itself
	Host    []Line // of its host and servers meanwhile
	Ends    []Line // of servers that ended under the same request, whatever its id then
}

// Find collects the story of a request. It fails with UnknownRequest when no
// line names it.
func Find(lines []Line, request string) (Story, error) {
	var s Story
	hosts, servers := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Request == request {
			s.Request = append(s.Request, l)
			hosts[l.Host] = true
			if l.Server != "" {
				servers[l.Server] = true
			}
		}
	}
	if len(s.Request) == 0 {
		return s, failure.New(failure.UnknownRequest, "no line names request %s; lines are kept as long as the collector keeps them, and lines_dropped tells of those left out", request)
	}
	inOrder(s.Request)
	from, to := s.Request[0].At.Add(-around), s.Request[len(s.Request)-1].At.Add(around)
	for _, l := range lines {
		near := l.At.After(from) && l.At.Before(to)
		about := hosts[l.Host] && (l.Server == "" || servers[l.Server])
		if l.Request == "" && near && about {
			s.Host = append(s.Host, l)
		}
	}
	inOrder(s.Host)
	s.Ends = endsUnder(lines, word(s.Request[len(s.Request)-1].Detail, "fingerprint"))
	return s, nil
}

// The events that tell of requests under which servers ended.
const (
	serverEnded        = "server_ended"
	requestQuarantined = "request_quarantined"
)

// endsUnder lists the ends of servers under the request with a fingerprint, and what came
// of them, in order of time.
func endsUnder(lines []Line, fingerprint string) []Line {
	if fingerprint == "" {
		return nil
	}
	var out []Line
	for _, l := range lines {
		about := l.Name == serverEnded || l.Name == requestQuarantined
		if about && word(l.Detail, "fingerprint") == fingerprint {
			out = append(out, l)
		}
	}
	inOrder(out)
	return out
}

// ServerEnd lists what was lost when a server ended: one line for each request that had a
// run there, with its fingerprint.
func ServerEnd(lines []Line, server string) []Line {
	var out []Line
	for _, l := range lines {
		if l.Name == serverEnded && l.Server == server {
			out = append(out, l)
		}
	}
	inOrder(out)
	return out
}

func inOrder(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// causes are the usual causes by the words of a request's last line.
var causes = []struct{ word, cause string }{
	{"in quarantine", "Servers ended while they ran the same request, under whatever id, so it is kept from further ones; this attempt did not run unless it says that it may have. See the servers below; gentianctl platform quarantine releases it."},
	{"over its quota", "The account asked for more than its limit over all hosts; the request did not run."},
	{"no server had room", "Overload: it waited its part of the time while more urgent or earlier requests took the places; it did not run."},
	{"no usable server", "Every server of the service left, was out of reach or answered nothing; it did not run."},
	{"retry budget", "A run failed, and the service's budget for repeats was spent."},
	{"no place to resume", "Its server broke off, and no other had room in time to go on with the stream."},
	{"may have run", "Its server had it when the time ran out, or lost its answer; it may have run."},
	{"no configuration", "The host had just started and had not reached the store."},
	{"shuts down", "The host was stopped; callers that still had its address were sent elsewhere."},
	{"belongs to no account", "The key is not in the configuration in force on that host; see config_in_force for its version."},
	{"no route", "No route of the configuration in force on that host matches; see config_in_force for its version."},
}

// Cause tells the usual cause of the request's end, empty when its lines tell
// no failure.
func (s Story) Cause() string {
	last := s.Request[len(s.Request)-1]
	for _, c := range causes {
		if strings.Contains(last.Detail, c.word) {
			return c.cause
		}
	}
	switch last.Name {
	case "request_left":
		return "The caller left " + last.Detail
	case "request_answered":
		return late(last.Detail)
	}
	return ""
}

// late tells where the time of an answered request went.
func late(detail string) string {
	waited, first, after := field(detail, "waited"), field(detail, "first"), field(detail, "after")
	switch {
	case after == 0:
		return ""
	case waited > after/2:
		return "Answered. Most of its time it waited for a place at a server: the service was full, or its account over its quota."
	case first > after/2:
		return "Answered. Most of its time its server took to the first event or answer."
	}
	return "Answered. Most of its time was the stream itself."
}

// field reads a duration that a detail gives as name=value, 0 when it does not.
func field(detail, name string) time.Duration {
	d, err := time.ParseDuration(word(detail, name))
	if err != nil {
		return 0
	}
	return d
}
