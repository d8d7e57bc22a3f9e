package test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/gentianflow/gentianflow/caller"
	"github.com/gentianflow/gentianflow/internal/admin"
	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/configsync"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/standin"
)

const (
	modelService = "tsumugi-llm" // streams the output of a model
	plainService = "loop-app"    // answers plain calls
	secret       = "test-secret"
)

var (
	zones     = []string{"fukuoka-hall", "kumamoto-hall", "kagoshima-hall"}
	kindTiers = map[string]int{"pickup": 1, "match": 1, "chat": 2, "appraisal": 3, "digest": 4}
)

// fleetOptions sets the size and the limits of a fleet.
type fleetOptions struct {
	hosts        int
	engines      int
	speed        float64       // relative speed of the first engine; the others are twice as fast
	maxSequences int           // concurrent sequences of an engine; 0 means 32
	relays       bool          // route traffic between hosts through relays
	maxWaiting   int           // queue length of a service; 0 means the default
	maxHeldBytes int           // bodies and answers on one host; 0 means the default
	hostListLag  time.Duration // delay until the platform's host list shows a change
}

// fleet is the system under test: entry hosts, backend servers and the stand-in
// platform.
type fleet struct {
	opt      fleetOptions
	doc      config.Document
	version  uint64
	log      *history.Log
	platform *standin.Platform
	store    *relay // between the hosts and the platform, which includes the store
	engines  []*backendServer
	services []*backendServer
	hosts    []*host
	subnet   int
}

// backendServer is a stand-in server of the test process behind a relay.
type backendServer struct {
	name   string
	engine *standin.Engine // nil for a plain service
	relay  *relay
}

// host is one gentiand process.
type host struct {
	f           *fleet
	name        string
	ip          string
	zone        string
	relay       *relay
	session     *gexec.Session
	incarnation string
	callerAddr  string
	controlAddr string
	adminAddr   string
}

var nextSubnet atomic.Int32

func newFleet(opt fleetOptions) *fleet {
	f := &fleet{opt: opt, log: history.NewLog(nil), subnet: 20 + int(nextSubnet.Add(1))}
	f.platform = standin.NewPlatform(opt.hostListLag)
	f.store = newRelay(f.ip(250), false)
	f.store.forward(f.serve(f.ip(249), f.platform.Handler()))
	DeferCleanup(f.stop)
	f.startBackends()
	for i := range opt.hosts {
		f.hosts = append(f.hosts, f.startHost(i))
	}
	f.eventuallyAlive(opt.hosts)
	f.doc = f.document()
	f.apply(f.doc)
	f.eventuallyInForce(f.version)
	return f
}

func (f *fleet) ip(n int) string { return fmt.Sprintf("127.%d.0.%d", f.subnet, n) }

// serve runs a handler on a free port of ip and returns its address.
func (f *fleet) serve(ip string, h http.Handler) string {
	l, err := net.Listen("tcp", ip+":0")
	Expect(err).NotTo(HaveOccurred())
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	DeferCleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func (f *fleet) startBackends() {
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	group := standin.NewGroup()
	for i := range f.opt.engines {
		speed := f.opt.speed
		if i > 0 {
			speed *= 2
		}
		e := standin.NewEngine(standin.EngineOptions{
			Name: fmt.Sprintf("engine-%d", i+1), Speed: speed, LoadLag: 300 * time.Millisecond,
			CacheLag: 300 * time.Millisecond, DropEvery: 10, ChecksFencing: i%2 == 0, History: f.log, Group: group,
		})
		go e.Run(ctx)
		b := &backendServer{name: fmt.Sprintf("engine-%d", i+1), engine: e, relay: newRelay(f.ip(100+i), false)}
		b.relay.forward(f.serve(f.ip(100+i), e.Handler()))
		f.engines = append(f.engines, b)
	}
	s := &backendServer{name: "app-1", relay: newRelay(f.ip(150), false)}
	s.relay.forward(f.serve(f.ip(150), standin.NewService("app-1", 5*time.Millisecond, f.log).Handler()))
	f.services = append(f.services, s)
}

var startedLine = regexp.MustCompile(`name=process_started detail="incarnation (\S+) callers (\S+) control (\S+) admin (\S+)"`)

func (f *fleet) startHost(i int) *host {
	h := &host{f: f, name: fmt.Sprintf("entry-%d", i+1), ip: f.ip(i + 1), zone: zones[i%len(zones)]}
	args := []string{
		"--host", h.name, "--availability-zone", h.zone, "--fleet", "test",
		"--caller-address", h.ip + ":0", "--control-address", h.ip + ":0", "--admin-address", h.ip + ":0",
		"--platform", "http://" + f.store.address(), "--platform-timeout", "1s",
	}
	if f.opt.relays {
		h.relay = newRelay(f.ip(50+i), true)
		args = append(args, "--advertise-control", h.relay.address())
	}
	for _, other := range f.hosts {
		args = append(args, "--seed", other.advertisedAddr())
	}
	h.start(args)
	return h
}

// advertisedAddr is the control address that other hosts use.
func (h *host) advertisedAddr() string {
	if h.relay != nil {
		return h.relay.address()
	}
	return h.controlAddr
}

func (h *host) start(args []string) {
	session, err := gexec.Start(exec.Command(gentiand, args...), nil, nil)
	Expect(err).NotTo(HaveOccurred())
	h.session = session
	var m [][]byte
	Eventually(func() [][]byte {
		m = startedLine.FindSubmatch(session.Err.Contents())
		return m
	}, 5*time.Second, 10*time.Millisecond).ShouldNot(BeNil(), "%s did not start", h.name)
	h.incarnation, h.callerAddr, h.controlAddr, h.adminAddr = string(m[1]), string(m[2]), string(m[3]), string(m[4])
	if h.relay != nil {
		h.relay.forward(h.controlAddr)
	}
}

func (f *fleet) stop() {
	if CurrentSpecReport().Failed() {
		GinkgoWriter.Printf("%v\n", f.outcomesByReason())
		f.dumpLogs()
	}
	for _, h := range f.hosts {
		_ = h.session.Command.Process.Signal(syscall.SIGCONT)
		h.session.Kill()
	}
	for _, h := range f.hosts {
		h.session.Wait(5 * time.Second)
		for _, fault := range []string{"DATA RACE", "panic:"} {
			Expect(bytes.Contains(h.session.Err.Contents(), []byte(fault))).To(BeFalse(), "%s of %s:\n%s", fault, h.name, h.session.Err.Contents())
		}
		if h.relay != nil {
			h.relay.close()
		}
	}
	for _, b := range append(f.engines, f.services...) {
		b.relay.close()
	}
	f.store.close()
}

// dumpLogs prints the end of each host's log.
func (f *fleet) dumpLogs() {
	for _, h := range f.hosts {
		text := h.session.Err.Contents()
		GinkgoWriter.Printf("---- %s %s\n%s\n", h.name, h.incarnation, text[max(0, len(text)-4000):])
	}
}

func (h *host) signal(s syscall.Signal) {
	Expect(h.session.Command.Process.Signal(s)).To(Succeed())
}

// kill ends the process with SIGKILL.
func (h *host) kill() {
	h.f.log.Add(history.Event{Kind: history.Killed, Source: h.name})
	h.signal(syscall.SIGKILL)
	h.session.Wait(5 * time.Second)
}

// pause stops the process with SIGSTOP, which it cannot observe; resume continues it.
// The history records a pause as Killed, as either may leave outcomes unknown.
func (h *host) pause() {
	h.f.log.Add(history.Event{Kind: history.Killed, Source: h.name})
	h.signal(syscall.SIGSTOP)
	Eventually(h.stopped).Should(BeTrue()) // threads that have not stopped yet still answer
}

// stopped reports whether every thread of the process is in state T (stopped).
func (h *host) stopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", h.session.Command.Process.Pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, stat := range threads {
		text, err := os.ReadFile(stat)
		if err != nil {
			return false
		}
		_, state, _ := strings.Cut(string(text), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

func (h *host) resume() { h.signal(syscall.SIGCONT) }

// drain requests a graceful shutdown.
func (h *host) drain() {
	h.f.log.Add(history.Event{Kind: history.Draining, Source: h.name})
	h.signal(syscall.SIGTERM)
}

func (h *host) get(path string, into any) error {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.adminAddr + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}

func (h *host) status() (admin.Status, error) {
	var s admin.Status
	err := h.get("/v1/status", &s)
	return s, err
}

// countMembers counts the members that a host reports in a state.
func (h *host) countMembers(state string) int {
	var reply admin.MembersReply
	if h.get("/v1/members", &reply) != nil {
		return -1
	}
	n := 0
	for _, m := range reply.Members {
		if string(m.State) == state {
			n++
		}
	}
	return n
}

// timeline returns a host's events of one kind.
func (h *host) timeline(code event.Code) []event.Event {
	var reply admin.TimelineReply
	if h.get("/v1/timeline", &reply) != nil {
		return nil
	}
	var out []event.Event
	for _, e := range reply.Events {
		if e.Code == code {
			out = append(out, e)
		}
	}
	return out
}

// running returns the hosts whose process has not exited.
func (f *fleet) running() []*host {
	var out []*host
	for _, h := range f.hosts {
		if h.session.ExitCode() == -1 {
			out = append(out, h)
		}
	}
	return out
}

func (f *fleet) eventuallyAlive(n int) {
	for _, h := range f.running() {
		Eventually(func() int { return h.countMembers(string(member.Alive)) }, 15*time.Second, 50*time.Millisecond).Should(Equal(n), h.name)
	}
}

func (f *fleet) eventuallyInForce(version uint64) {
	for _, h := range f.running() {
		Eventually(func() uint64 {
			s, _ := h.status()
			return s.Version
		}, 10*time.Second, 50*time.Millisecond).Should(BeNumerically(">=", version), h.name)
	}
}

// homeOf waits for the home of a service, the host that runs the scheduler, and
// returns it.
func (f *fleet) homeOf(service string) *host {
	var home *host
	Eventually(func() *host {
		for _, h := range f.running() {
			s, err := h.status()
			if err != nil {
				continue
			}
			for _, c := range s.Homes {
				if c.Service == service && c.IsHome {
					home = h
				}
			}
		}
		return home
	}, 10*time.Second, 50*time.Millisecond).ShouldNot(BeNil())
	return home
}

// otherHost returns a running host that is not excluded.
func (f *fleet) otherHost(exclude ...*host) *host {
	for _, h := range f.running() {
		eligible := true
		for _, e := range exclude {
			eligible = eligible && h != e
		}
		if eligible {
			return h
		}
	}
	Fail("no running host is left after the exclusions")
	return nil
}

// document returns the initial configuration of the fleet.
func (f *fleet) document() config.Document {
	sum := sha256.Sum256([]byte(secret))
	d := config.Document{
		Places: config.Places{Region: "kyushu", AvailabilityZones: zones},
		ClientAccounts: []config.ClientAccount{{
			Name: "tests", SecretSHA256: hex.EncodeToString(sum[:]), Services: []string{modelService, plainService},
		}},
		Rules: config.Rules{
			Lookup: config.LookupRules{TTL: config.Duration(time.Second)},
			Limits: config.Limits{Waiting: f.opt.maxWaiting, HeldBytes: f.opt.maxHeldBytes},
		},
	}
	model := config.Service{Name: modelService, Kind: config.ModelService}
	for i, e := range f.engines {
		speed := f.opt.speed
		if i > 0 {
			speed *= 2
		}
		model.BackendServers = append(model.BackendServers, config.BackendServer{
			Name: e.name, Address: e.relay.address(), AvailabilityZone: zones[i%len(zones)], Speed: speed, MaxSequences: f.opt.maxSequences,
		})
	}
	plain := config.Service{Name: plainService, Kind: config.PlainService}
	for _, s := range f.services {
		plain.BackendServers = append(plain.BackendServers, config.BackendServer{Name: s.name, Address: s.relay.address(), AvailabilityZone: zones[0]})
	}
	d.Services = []config.Service{model, plain}
	for n, name := range []string{"locker", "chat", "long", "bulk"} {
		d.Rules.Tiers = append(d.Rules.Tiers, config.Tier{Number: n + 1, Name: name, Deadline: config.Duration(20 * time.Second)})
	}
	for _, k := range []config.RequestKind{
		{Name: "match", Service: plainService, Tier: 1},
		{Name: "pickup", Service: plainService, Tier: 1, NonIdempotent: true},
		{Name: "chat", Service: modelService, Tier: 2},
		{Name: "appraisal", Service: modelService, Tier: 3},
		{Name: "digest", Service: modelService, Tier: 4},
	} {
		k.Deadline = config.Duration(20 * time.Second)
		d.Rules.RequestKinds = append(d.Rules.RequestKinds, k)
	}
	return d
}

// apply proposes a document through the first running host and expects that it
// becomes the newest version.
func (f *fleet) apply(d config.Document) {
	change, err := f.propose(f.running()[0], d, f.version, fmt.Sprintf("change-%d-%d", f.version, time.Now().UnixNano()))
	Expect(err).NotTo(HaveOccurred())
	f.version = change.Version
}

func (f *fleet) propose(h *host, d config.Document, base uint64, id string) (configsync.Change, error) {
	text, err := config.Encode(&d)
	Expect(err).NotTo(HaveOccurred())
	body, err := json.Marshal(configsync.Proposal{Base: base, ChangeID: id, Author: h.name, Text: text})
	Expect(err).NotTo(HaveOccurred())
	client := http.Client{Timeout: 15 * time.Second}
	resp, err := client.Post("http://"+h.adminAddr+"/v1/config", "application/json", bytes.NewReader(body))
	if err != nil {
		return configsync.Change{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return configsync.Change{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return configsync.Change{}, fmt.Errorf("%d %s", resp.StatusCode, answer)
	}
	var c configsync.Change
	err = json.Unmarshal(answer, &c)
	f.log.Add(history.Event{Kind: history.Accepted, Source: h.name, Version: c.Version})
	return c, err
}

// client returns a client that knows the given hosts, or all running ones, and
// records its requests in the history.
func (f *fleet) client(service string, from ...*host) *caller.Client {
	opt := caller.Options{
		Service: service, Secret: secret,
		Observer: &standin.Recorder{Log: f.log, Source: "caller", Service: service, Tiers: kindTiers},
	}
	if len(from) == 0 {
		from = f.running()
	}
	for _, h := range from {
		opt.Hosts = append(opt.Hosts, h.callerAddr)
	}
	c := caller.New(opt)
	DeferCleanup(c.Close)
	return c
}

// burst sends a mix of short requests for the duration d and waits for all final
// outcomes. The rate is that of the model service, in requests per second.
func (f *fleet) burst(rate float64, d time.Duration, during func()) *standin.Load {
	l := &standin.Load{
		Clients: map[string]*caller.Client{modelService: f.client(modelService), plainService: f.client(plainService)},
		Works: []standin.Work{
			{Service: plainService, Kind: "match", Tier: 1, Rate: 20, Deadline: 20 * time.Second, Path: "match"},
			{Service: plainService, Kind: "pickup", Tier: 1, Rate: 20, Deadline: 20 * time.Second, Path: "pickup", NonIdempotent: true},
			{Service: modelService, Kind: "chat", Tier: 2, Rate: rate * 0.6, PrefixCount: 3, PrefixTokens: 256, UnsharedTokens: 50, Output: 40, Deadline: 20 * time.Second},
			{Service: modelService, Kind: "appraisal", Tier: 3, Rate: rate * 0.2, PrefixCount: 2, PrefixTokens: 512, UnsharedTokens: 500, Output: 100, Deadline: 20 * time.Second},
			{Service: modelService, Kind: "digest", Tier: 4, Rate: rate * 0.2, PrefixCount: 2, PrefixTokens: 256, UnsharedTokens: 300, Output: 80, Deadline: 20 * time.Second},
		},
		Seed: 7,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(context.Background(), d)
	}()
	if during != nil {
		during()
	}
	Eventually(done, 60*time.Second).Should(BeClosed())
	return l
}
