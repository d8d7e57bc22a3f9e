package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// errCannotRun is returned when a case could not be set up.
var errCannotRun = errors.New("the case could not run")

// Ports of each entry host. Each host has a loopback address of its own.
const (
	frontPort     = 8221
	readyPort     = 8224
	controlPort   = 8229
	directoryPort = 8220
	internalFirst = 7600
	internalLast  = 7615
	metricsPort   = 7614
)

// host is one entry host: a process of the project.
type host struct {
	name     string
	ip       string
	settings string // path of its settings file
	cmd      *exec.Cmd
	exited   chan struct{}
}

func (h *host) front() string { return net.JoinHostPort(h.ip, fmt.Sprint(frontPort)) }

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// alive reports whether the process has not ended.
func (h *host) alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// ready asks the readiness address.
func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + net.JoinHostPort(h.ip, fmt.Sprint(readyPort)) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// fleet is a small deployment: a store and entry hosts on loopback addresses.
type fleet struct {
	dir      string
	root     string
	subnet   string
	store    *store
	hosts    []*host
	overlay  map[string]string // settings that differ from the defaults
	capacity int
}

// newFleet starts the store in a free loopback subnet.
func newFleet(hosts int) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, root: root, overlay: map[string]string{}, capacity: hosts}
	for range 50 {
		f.subnet = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		if f.free() {
			break
		}
		f.subnet = ""
	}
	if f.subnet == "" {
		return nil, fmt.Errorf("%w: no free loopback subnet", errCannotRun)
	}
	f.store, err = newStore(f.subnet + ".200:0")
	return f, err
}

// free reports whether the ports of all hosts are free.
func (f *fleet) free() bool {
	for i := range f.capacity {
		for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, internalFirst, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", f.subnet, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// stop ends all processes that the fleet started and removes its folder.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		if h.alive() {
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGKILL)
			<-h.exited
		}
	}
	_ = os.RemoveAll(f.dir)
}

// startCommand returns the words of the deploy file's run line.
func (f *fleet) startCommand() ([]string, error) {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if run == nil {
		return nil, fmt.Errorf("%w: the deploy file has no run line", errCannotRun)
	}
	return strings.Fields(string(run[1])), nil
}

// writeSettings writes the settings file of a host under its final name.
func (f *fleet) writeSettings(h *host, index int) error {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	at := func(port int) string { return net.JoinHostPort(h.ip, fmt.Sprint(port)) }
	var seeds []string
	for i := range min(3, f.capacity) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", f.subnet, i+1, controlPort))
	}
	fields := [][2]string{
		{"nodeName", h.name},
		{"role", "entry"},
		{"machineClass", "front"},
		{"serves", "front,control,directory"},
		{"ip", h.ip},
		{"zone", zones[index%len(zones)]},
		{"region", "tunis"},
		{"listen.front", at(frontPort)},
		{"listen.ready", at(readyPort)},
		{"listen.control", at(controlPort)},
		{"listen.directory", at(directoryPort)},
		{"internalPorts", fmt.Sprintf("%d,%d", internalFirst, internalLast)},
		{"seeds", strings.Join(seeds, ",")},
		{"bootstrap", "true"},
		{"limits.cpuShare", "0.4"},
		{"limits.cpuCores", "1"},
		{"limits.memoryMb", "284"},
		{"limits.maxFds", "4100"},
		{"limits.linkMbps", "1000.0"},
		{"limits.diskMb", "0"},
		{"discovery", "platform"},
		{"entry", "directory"},
		{"heartbeatMs", "1200"},
		{"bounds.reuseDelayS", "2"},
		{"bounds.stableWindowMs", "3000"},
		{"bounds.ackMs", "4000"},
		{"bounds.drainMs", "2000"},
		{"bounds.graceS", "8"},
		{"bounds.lossSlackMs", "200"},
		{"bounds.configApplyMs", "2000"},
		{"bounds.rollbackSlackMs", "250"},
		{"bounds.maxSkewMs", "5000"},
		{"bounds.budgetRatio", "0.2"},
		{"bounds.budgetWindowS", "10"},
		{"bounds.budgetSlack", "54"},
		{"bounds.quotaWindowS", "8"},
		{"bounds.quotaOver", "0.1"},
		{"bounds.quotaSlack", "72000"},
		{"bounds.recoveryS", "12"},
		{"bounds.ttl_max_s", "5"},
		{"platform.address", f.store.address()},
		{"platform.form", "table"},
		{"platform.writesPerS", "400"},
		{"platform.readsPerS", "2000"},
	}
	var text strings.Builder
	for _, field := range fields {
		value := field[1]
		if changed, ok := f.overlay[field[0]]; ok {
			value = changed
		}
		fmt.Fprintf(&text, "%s=%s\n", field[0], value)
	}
	if err := os.WriteFile(h.settings+".part", []byte(text.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(h.settings+".part", h.settings)
}

// startHosts starts all entry hosts and waits until each is ready.
func (f *fleet) startHosts() error {
	for i := range f.capacity {
		h := &host{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", f.subnet, i+1)}
		h.settings = filepath.Join(f.dir, h.name+".conf")
		if err := f.writeSettings(h, i); err != nil {
			return err
		}
		if err := f.start(h); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	return f.awaitReady(10 * time.Second)
}

// start starts the process of a host with the command of the deploy file.
func (f *fleet) start(h *host) error {
	words, err := f.startCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(filepath.Join(f.root, words[0]), words[1:]...)
	h.cmd.Dir, h.cmd.Stdout, h.cmd.Stderr = f.root, log, log
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "GENTIANFLOW_CONFIG=" + h.settings}
	if err := h.cmd.Start(); err != nil {
		return fmt.Errorf("%w: start %s: %v", errCannotRun, words[0], err)
	}
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(h.cmd, h.exited)
	return nil
}

func (f *fleet) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, h := range f.hosts {
			all = all && h.ready()
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("%w: the hosts did not become ready", errCannotRun)
}
