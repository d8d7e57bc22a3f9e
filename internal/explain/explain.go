// Package explain finds in the logs of all hosts what led to the end of one request: its own
// lines, and events of its host and servers around that time.
package explain

import (
	"bufio"
	"io"
	"slices"
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

// contextWindow is how far before a request's first line and after its last one other events of
// its host and servers are included. Membership and the store's watchers notice a failure in
// less time.
const contextWindow = 3 * time.Second

// Read parses the lines of a log. It skips lines that gentianflow did not write; a line may
// have other text before its level field.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		text := scanner.Text()
		if i := strings.Index(text, "level="); i >= 0 {
			if line, ok := parseLine(text[i:]); ok {
				lines = append(lines, line)
			}
		}
	}
	return lines, failure.Wrap(failure.BadRequest, scanner.Err(), "read the log")
}

func parseLine(text string) (Line, bool) {
	line := Line{Text: text}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		value := string(decoder.Value())
		switch string(decoder.Key()) {
		case "ts":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return line, false
			}
			line.At = at
		case "host":
			line.Host = value
		case "name":
			line.Name = value
		case "request":
			line.Request = value
		case "service":
			line.Service = value
		case "server":
			line.Server = value
		case "peer":
			line.Peer = value
		case "detail":
			line.Detail = value
		}
	}
	return line, decoder.Err() == nil && line.Name != "" && !line.At.IsZero()
}

// RequestHistory holds the log lines about one request, in order of time.
type RequestHistory struct {
	Request []Line // of the request
	Host    []Line // of its host and servers around that time
	Ends    []Line // of servers that ended while they ran the same request, under whatever id, or others like it
}

// Find collects the lines about a request. It fails with UnknownRequest when no line names it.
func Find(lines []Line, request string) (RequestHistory, error) {
	var history RequestHistory
	hosts, servers := map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.Request == request {
			history.Request = append(history.Request, line)
			hosts[line.Host] = true
			if line.Server != "" {
				servers[line.Server] = true
			}
		}
	}
	if len(history.Request) == 0 {
		return history, failure.New(failure.UnknownRequest, "no line names request %s; the log collector may have deleted its lines, or the host left them out (see lines_dropped)", request)
	}
	sortByTime(history.Request)
	from, to := history.Request[0].At.Add(-contextWindow), history.Request[len(history.Request)-1].At.Add(contextWindow)
	for _, line := range lines {
		near := line.At.After(from) && line.At.Before(to)
		related := hosts[line.Host] && (line.Server == "" || servers[line.Server])
		if line.Request == "" && near && related {
			history.Host = append(history.Host, line)
		}
	}
	sortByTime(history.Host)
	history.Ends = serverEndsBehind(lines, history.Request[len(history.Request)-1].Detail)
	return history, nil
}

// Names of the events about requests under which servers ended.
const (
	serverEnded        = "server_ended"
	requestQuarantined = "request_quarantined"
	traitQuarantined   = "trait_quarantined"
)

// serverEndsBehind lists the ends of servers and the quarantine that led to the refusal in a detail, in order
// of time: under requests with the part for which it was refused, or under those of the account on the route,
// otherwise under the same request.
func serverEndsBehind(lines []Line, detail string) []Line {
	part, caller, fingerprint := textField(detail, "part"), textField(detail, "requests_of"), textField(detail, "fingerprint")
	route := textField(detail, "on_route")
	var out []Line
	for _, line := range lines {
		field := func(name string) string { return textField(line.Detail, name) }
		ended := line.Name == serverEnded
		relevant := false
		switch {
		case part != "":
			relevant = ended && slices.Contains(strings.Split(field("parts"), ","), part) || line.Name == traitQuarantined && field("part") == part
		case caller != "":
			relevant = ended && field("account") == caller && field("route") == route || line.Name == traitQuarantined && field("requests_of") == caller
		case fingerprint != "":
			relevant = (ended || line.Name == requestQuarantined) && field("fingerprint") == fingerprint
		}
		if relevant {
			out = append(out, line)
		}
	}
	sortByTime(out)
	return out
}

// ServerEnd lists what a server ran when it ended: one line, with the fingerprint, for each
// request.
func ServerEnd(lines []Line, server string) []Line {
	var out []Line
	for _, line := range lines {
		if line.Name == serverEnded && line.Server == server {
			out = append(out, line)
		}
	}
	sortByTime(out)
	return out
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// causes maps phrases in a request's last line to the usual cause.
var causes = []struct{ phrase, cause string }{
	{"part of the prompt is in quarantine", "Servers ended while they ran requests with one of its prompt parts, whatever else these had, so requests with the part are kept from further ones; this attempt did not run unless it says that it may have. See the servers below and the answers that spoke for the part; gentianctl platform quarantine releases it."},
	{"requests on this route are in quarantine", "Servers ended while they ran requests of its account on its route, and none of these was answered; this attempt did not run unless it says that it may have. gentianctl platform quarantine releases them."},
	{"in quarantine", "Servers ended while they ran the same request, under whatever id, so it is kept from further ones; this attempt did not run unless it says that it may have. See the servers below; gentianctl platform quarantine releases it."},
	{"software version the stream began", "Its caller took a stream up, and neither this host nor the home knew within 1.5 s at which software version it began; it did not run. The attempt that it names may be of another account, too old, or lost with its hosts."},
	{"began the stream is left", "Its caller took a stream up whose software version has no server any more; it did not run."},
	{"over its quota", "The account asked for more than its limit over all hosts; the request did not run."},
	{"no usable server", "Every server of the service left, was out of reach or answered nothing; it did not run."},
	{"forecast=", "Overload: on arrival, the requests before it were expected to take the places for longer than it could wait; it did not run. See forecast (until its start), room (the stated Retry-After), before and rate."},
	{"no server had room", "Overload: it waited its part of the time while more urgent or earlier requests took the places; it did not run."},
	{"retry budget", "A run failed, and the service's retry budget was spent."},
	{"no place to resume", "Its server failed during the stream, and no other had room in time to resume it."},
	{"may have run", "Its server had it when the time ran out, or lost its answer; it may have run."},
	{"no configuration", "The host had just started and had not read the configuration from the store yet."},
	{"shuts down", "The host was shutting down; callers that still used its address were sent to other hosts."},
	{"belongs to no account", "The key is not in the configuration in force on that host; see config_in_force for its version."},
	{"no route", "No route of the configuration in force on that host matches; see config_in_force for its version."},
}

// Cause returns the usual cause of the request's end, empty if its lines show no failure.
func (h RequestHistory) Cause() string {
	last := h.Request[len(h.Request)-1]
	for _, c := range causes {
		if strings.Contains(last.Detail, c.phrase) {
			return c.cause
		}
	}
	switch last.Name {
	case "request_left":
		return "The caller left " + last.Detail
	case "request_answered":
		return slowestPhase(last.Detail)
	}
	return ""
}

// slowestPhase names the phase that took most of the time of an answered request.
func slowestPhase(detail string) string {
	waited, first, after := durationField(detail, "waited"), durationField(detail, "first"), durationField(detail, "after")
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

// durationField returns the duration that a detail gives as name=value, 0 if there is none.
func durationField(detail, name string) time.Duration {
	d, err := time.ParseDuration(textField(detail, name))
	if err != nil {
		return 0
	}
	return d
}
