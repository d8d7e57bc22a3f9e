package node

import (
	"context"
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gentianflow/gentianflow/internal/addresses"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
)

const (
	// memoryPeriod is the time between two looks at the memory in use. At 200 Mbit/s, 2.5 MB
	// arrive in it, a fifth of what is left of 134 MB at memoryBound.
	memoryPeriod = 100 * time.Millisecond
	// loadPeriod is the time between two load figures, and the shortest time between two changes of
	// the figure that is gossiped.
	loadPeriod = time.Second
	// notableChange is the smallest change of the figure that is gossiped, in 255ths. Each change
	// makes the directories of other hosts choose slightly differently, and smaller ones are noise.
	notableChange = 12
	// A host refuses new requests from memoryBound of its memory limit until it is below
	// memoryRecovered. The garbage collector's soft limit is memoryShare, so that memory beyond it
	// is in use and not garbage. At the limit itself the platform kills the process, and all
	// requests in progress are lost.
	memoryBound     = 0.9
	memoryRecovered = 0.8
	// The same bounds for file descriptors. Without a descriptor the host accepts no connections,
	// and can't send the requests that it holds to a server.
	descriptorBound     = 0.95
	descriptorRecovered = 0.85
	// requestsPerCore is how many requests in progress keep one core busy: a request takes 1 ms of it
	// (docs/CAPACITY.md), and lasts some two seconds with its wait.
	requestsPerCore = 2000
	// fullRetryAfter is the Retry-After of a host near its limits; callers retry at another host.
	fullRetryAfter = 100 * time.Millisecond
)

// resourceUse returns how much of each resource the process uses. Each function returns a negative
// number if that is unknown.
type resourceUse struct {
	memory      func() int64                  // bytes
	collect     func()                        // returns unused memory to the system
	descriptors func() (open, limit int)      // of files
	processor   func() time.Duration          // processor time used so far
	requests    func() int                    // in progress
	bytes       func() (sent, received int64) // so far
}

// resourceUse returns the functions for this process.
func (n *Node) resourceUse() resourceUse {
	return resourceUse{
		memory: residentMemory, collect: debug.FreeOSMemory, descriptors: openDescriptors, processor: processorTime,
		requests: func() int { return n.entry.Active() },
		bytes: func() (sent, received int64) {
			forwarded := n.entry.ForwardedBytes()
			return forwarded + n.traffic.Sent.Load() + n.gossip.Sent.Load(), forwarded + n.traffic.Received.Load() + n.gossip.Received.Load()
		},
	}
}

// residentMemory returns the process's memory that the platform charges, -1 if it can't be read.
func residentMemory() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return -1
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return -1
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return -1
	}
	return pages * int64(os.Getpagesize())
}

// openDescriptors returns the number of open files and its limit, -1 where it is unknown.
func openDescriptors() (open, limit int) {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) != nil || r.Cur > math.MaxInt32 {
		return -1, -1
	}
	dir, err := os.Stat("/proc/self/fd")
	if err != nil || dir.Size() == 0 {
		return -1, -1 // kernels before 6.2 don't give the number, and listing the files takes milliseconds
	}
	return int(dir.Size()), int(r.Cur)
}

// processorTime returns the processor time that the process has used, -1 if it is unknown.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return -1
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// loads are the parts in use of a host's resources, 0 where they are unknown.
type loads struct{ memory, descriptors, processor, requests, link float64 }

// scarcest returns the largest of the parts.
func (l loads) scarcest() float64 {
	return max(l.memory, l.descriptors, l.processor, l.requests, l.link)
}

// hostLoad measures the load of this host and decides whether it takes further requests. It implements
// entry.Gate. Only run's goroutine uses the fields from sampledAt to collectedAt; mu guards those below.
type hostLoad struct {
	settings  Settings
	use       resourceUse
	publish   func(load uint32)
	events    *event.Recorder
	memory    atomic.Int64           // in use when last looked at
	limit     atomic.Int64           // of memory, 0: unknown
	unread    atomic.Int64           // bytes of bodies that are being read
	exhausted atomic.Pointer[string] // the resource for which new requests are refused, nil: none

	sampledAt     time.Time
	processorTime time.Duration
	sent          int64
	received      int64
	published     uint32
	publishedAt   time.Time
	collectedAt   time.Time

	mu      sync.Mutex
	current loads
}

func newHostLoad(settings Settings, use resourceUse, publish func(uint32), events *event.Recorder) *hostLoad {
	l := &hostLoad{settings: settings, use: use, publish: publish, events: events}
	l.limit.Store(settings.MemoryBytes)
	return l
}

func (l *hostLoad) setMemoryLimit(bytes int64) { l.limit.Store(bytes) }

// run measures until ctx ends.
func (l *hostLoad) run(ctx context.Context) {
	for l.step(time.Now()); sleep(ctx, memoryPeriod); {
		l.step(time.Now())
	}
}

// step looks at the memory, and once in loadPeriod at the other resources.
func (l *hostLoad) step(now time.Time) {
	l.memory.Store(max(0, l.use.memory()))
	l.mu.Lock()
	c := l.current
	l.mu.Unlock()
	c.memory = l.memoryLoad(0)
	if now.Sub(l.sampledAt) >= loadPeriod {
		l.sample(now, &c)
	}
	l.decide(now, &c)
	l.mu.Lock()
	l.current = c
	l.mu.Unlock()
	l.publishFigure(now, c)
}

// memoryLoad returns the part of the memory in use once extra bytes are, 0 if the limit is unknown.
func (l *hostLoad) memoryLoad(extra int64) float64 {
	limit := l.limit.Load()
	if limit <= 0 {
		return 0
	}
	return float64(l.memory.Load()+extra) / float64(limit)
}

// sample measures all resources but the memory. Those that are measured as a rate are averaged with the
// second before, since they vary by the burst.
func (l *hostLoad) sample(now time.Time, c *loads) {
	passed := now.Sub(l.sampledAt).Seconds()
	first := l.sampledAt.IsZero()
	processor := l.use.processor()
	sent, received := l.use.bytes()
	if !first && l.settings.ProcessorShare > 0 && processor >= 0 {
		c.processor = (c.processor + (processor-l.processorTime).Seconds()/passed/l.settings.ProcessorShare) / 2
	}
	if !first && l.settings.LinkMbps > 0 {
		bits := 8 * float64(max(sent-l.sent, received-l.received))
		c.link = (c.link + bits/passed/1e6/float64(l.settings.LinkMbps)) / 2
	}
	l.sampledAt, l.processorTime, l.sent, l.received = now, processor, sent, received
	if open, limit := l.use.descriptors(); limit > 0 {
		c.descriptors = float64(open) / float64(limit)
	}
	if l.settings.ProcessorShare > 0 {
		c.requests = float64(l.use.requests()) / (l.settings.ProcessorShare * requestsPerCore)
	}
}

// decide starts or stops to refuse new requests.
//
// A refusal costs a caller more than a slow answer, so unused memory is returned to the system first, and
// only what the host can't survive counts: without memory it is killed, without descriptors it accepts no connections. A
// busy processor or link slows requests down, and the load figure brings fewer of them. While requests
// are refused nothing else starts the garbage collector, so it is started every second.
func (l *hostLoad) decide(now time.Time, c *loads) {
	refusing := l.exhausted.Load() != nil
	bound, descriptors := memoryBound, descriptorBound
	if refusing {
		bound, descriptors = memoryRecovered, descriptorRecovered
	}
	if c.memory >= bound && now.Sub(l.collectedAt) >= loadPeriod {
		l.use.collect()
		l.collectedAt = now
		l.memory.Store(max(0, l.use.memory()))
		c.memory = l.memoryLoad(0)
	}
	resource := ""
	switch {
	case c.memory >= bound:
		resource = fmt.Sprintf("memory %.2f of %d MB", c.memory, l.limit.Load()/1e6)
	case c.descriptors >= descriptors:
		resource = fmt.Sprintf("descriptors %.2f", c.descriptors)
	}
	switch {
	case resource != "" && !refusing:
		l.exhausted.Store(&resource)
		l.events.Record(event.HostNearLimit, event.Fields{Detail: "refuses new requests: " + resource})
	case resource == "" && refusing:
		l.exhausted.Store(nil)
		l.events.Record(event.HostNearLimit, event.Fields{Detail: fmt.Sprintf("takes requests again: memory %.2f descriptors %.2f", c.memory, c.descriptors)})
	}
}

// publishFigure gossips the load figure if it has changed notably, at most once in loadPeriod.
func (l *hostLoad) publishFigure(now time.Time, c loads) {
	figure := uint32(addresses.Refusing)
	if l.exhausted.Load() == nil {
		figure = uint32(max(1, min(addresses.Refusing-1, c.scarcest()*addresses.Refusing)))
	}
	refusalChanged := figure != l.published && (figure == addresses.Refusing || l.published == addresses.Refusing)
	notable := refusalChanged || l.published == 0 || max(figure, l.published)-min(figure, l.published) >= notableChange
	if notable && now.Sub(l.publishedAt) >= loadPeriod {
		l.published, l.publishedAt = figure, now
		l.publish(figure)
	}
}

// Admit implements entry.Gate.
//
// Bodies that are being read count by their full length, since their memory fills between two looks at
// it. So one long body can be refused while others are admitted.
func (l *hostLoad) Admit(bodyBytes int64) (release func(), err error) {
	if resource := l.exhausted.Load(); resource != nil {
		return nil, failure.Retry(failure.HostFull, fullRetryAfter, "this host is near its limits: %s", *resource)
	}
	bodyBytes = max(0, bodyBytes)
	unread := l.unread.Add(bodyBytes)
	release = func() { l.unread.Add(-bodyBytes) }
	if bodyBytes > 0 && l.memoryLoad(unread) >= memoryBound {
		release()
		return nil, failure.Retry(failure.HostFull, fullRetryAfter, "this host has no memory for a body of %d bytes", bodyBytes)
	}
	return release, nil
}

// gaugeLoad sets the gauges of this host's load and of its look-ups.
func (n *Node) gaugeLoad(gauge func(name string, v int64)) {
	if n.load == nil {
		return
	}
	l := n.load
	l.mu.Lock()
	c := l.current
	l.mu.Unlock()
	percent := func(name string, part float64) { gauge(name, int64(math.Round(100*part))) }
	percent("host_load_memory_percent", c.memory)
	percent("host_load_descriptors_percent", c.descriptors)
	percent("host_load_processor_percent", c.processor)
	percent("host_load_requests_percent", c.requests)
	percent("host_load_link_percent", c.link)
	refusing := int64(0)
	if l.exhausted.Load() != nil {
		refusing = 1
	}
	gauge("host_refuses_requests", refusing)
	percent("lookup_zone_share_percent", n.directory.zoneShare(n.settings.AvailabilityZone))
}
