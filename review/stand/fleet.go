package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of the entry hosts, as in a settings file of the pages. Each host has its own loopback IP.
const (
	entryPort   = "8221"
	readyPort   = "8224"
	controlPort = "8229"
	lookupPort  = "8220"
)

// graceS is the time in seconds from SIGTERM to SIGKILL.
const graceS = 8

// host is one entry host: a process of the project.
type host struct {
	name, ip, zone string
	seeds          []string // nil: the first hosts of the fleet
	settings       string   // path of the settings file
	log            string   // path of what it writes
	cmd            *exec.Cmd
	done           chan struct{}
	mu             sync.Mutex
	ended          bool
}

func (h *host) address(port string) string { return net.JoinHostPort(h.ip, port) }

// fleet is the deployment of a case: its entry hosts and where they find the store.
type fleet struct {
	dir      string
	command  []string // of the deploy file
	hosts    []*host
	rec      *record
	memoryMb int
	network  string      // first three bytes of the hosts' addresses
	stopped  atomic.Bool // no process is started any more
}

// newFleet prepares n hosts in three availability zones. Their addresses lie in a random loopback network, since
// all hosts use the same ports.
func newFleet(dir string, n, memoryMb int, rec *record) (*fleet, error) {
	command, err := deployCommand()
	if err != nil {
		return nil, err
	}
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, command: command, rec: rec, memoryMb: memoryMb, network: network}
	for i := range n {
		zone := "hall-" + string(rune('a'+i%3))
		name := fmt.Sprintf("front-%s-%d", zone, i/3+1)
		f.hosts = append(f.hosts, &host{
			name: name, ip: fmt.Sprintf("%s.%d", network, i+1), zone: zone,
			settings: filepath.Join(dir, name+".conf"), log: filepath.Join(dir, name+".log"),
		})
	}
	return f, nil
}

// freeNetwork returns the first three bytes of a loopback network whose first addresses are free.
func freeNetwork() (string, error) {
	for range 20 {
		network := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		free := true
		for i := 1; i <= 12 && free; i++ {
			for _, port := range []string{entryPort, readyPort, lookupPort, "7600", "7614"} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", network, i, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// deployCommand returns the command of the role in deploy/system.toml.
func deployCommand() ([]string, error) {
	f, err := os.Open("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if name, value, ok := strings.Cut(lines.Text(), "="); ok && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, errors.New("deploy/system.toml has no run command")
}

// writeSettings writes the settings file of a host for a store.
func (f *fleet) writeSettings(h *host, storeAddress string) error {
	seeds := h.seeds
	if seeds == nil {
		for _, seed := range f.hosts[:min(3, len(f.hosts))] {
			seeds = append(seeds, seed.address(controlPort))
		}
	}
	lines := []string{
		"nodeName=" + h.name, "role=entry", "machineClass=front", "serves=front,directory,control",
		"ip=" + h.ip, "zone=" + h.zone, "region=tunis", "zones.hall-a=tunis", "zones.hall-b=tunis", "zones.hall-c=tunis",
		"listen.front=" + h.address(entryPort), "listen.ready=" + h.address(readyPort), "listen.control=" + h.address(controlPort), "listen.directory=" + h.address(lookupPort),
		"internalPorts=7600,7615", "seeds=" + strings.Join(seeds, ","), "bootstrap=true", "countsTowardLoss=false",
		"limits.cpuShare=0.4", "limits.cpuCores=1", fmt.Sprintf("limits.memoryMb=%d", f.memoryMb), "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=directory", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,platform",
		"faultTolerance.machines=2", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseDelayS=2", "bounds.stableWindowMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000",
		fmt.Sprintf("bounds.graceS=%d", graceS), "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.maxSkewMs=5000",
		"bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.budgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetSlack=54",
		"bounds.quotaWindowS=8", "bounds.quotaOver=0.1", "bounds.quotaSlack=72000", "bounds.recoveryS=12", "bounds.passMs=120", "bounds.cacheWindowS=9.1", "bounds.ttl_max_s=5",
		"platform.address=" + storeAddress, "platform.form=table", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.txMs=3.0",
		"platform.partWritesPerS=300", "platform.rowBytes=65536", "platform.across=true", "platform.historyS=20",
		"platform.blobBytes=8388608", "platform.blobMs=25.0", "platform.blobMbPerS=80.0",
	}
	if err := os.WriteFile(h.settings+".part", []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(h.settings+".part", h.settings)
}

// start starts the process of a host with the environment that the pages name.
func (f *fleet) start(h *host) error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.command[0], f.command[1:]...)
	cmd.Env = []string{"GENTIANFLOW_CONFIG=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=" + os.Getenv("LANG")}
	cmd.Stdout, cmd.Stderr = out, out
	done := make(chan struct{})
	h.mu.Lock()
	if f.stopped.Load() {
		h.mu.Unlock()
		return errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		h.mu.Unlock()
		return err
	}
	h.cmd, h.done, h.ended = cmd, done, false
	h.mu.Unlock()
	f.rec.add("start", "host", h.name, "pid", cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		h.mu.Lock()
		h.ended = true
		h.mu.Unlock()
		f.rec.add("exit", "host", h.name, "how", fmt.Sprint(cmd.ProcessState), "err", fmt.Sprint(err))
		close(done)
	}()
	return nil
}

// startAll writes the settings of all hosts, starts them and waits until all are ready.
func (f *fleet) startAll(storeAddress string) error { return f.startHosts(f.hosts, storeAddress) }

func (f *fleet) startHosts(hosts []*host, storeAddress string) error {
	for _, h := range hosts {
		if err := f.writeSettings(h, storeAddress); err != nil {
			return err
		}
		if err := f.start(h); err != nil {
			return err
		}
	}
	for _, h := range hosts {
		if err := h.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) awaitReady(timeout time.Duration) error {
	for begun := time.Now(); time.Since(begun) < timeout; time.Sleep(50 * time.Millisecond) {
		if h.ready() {
			return nil
		}
	}
	return errors.New(h.name + " is not ready")
}

func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.address(readyPort) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the process of a host, unless it has ended.
func (f *fleet) signal(h *host, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil || h.ended {
		return
	}
	f.rec.add("signal", "host", h.name, "signal", s.String())
	_ = h.cmd.Process.Signal(s) // fails only if the process has just ended
}

// stopAll ends all processes that this program started.
func (f *fleet) stopAll() {
	f.stopped.Store(true)
	for _, h := range f.hosts {
		f.signal(h, syscall.SIGKILL)
	}
	for _, h := range f.hosts {
		if h.done != nil {
			<-h.done
		}
	}
}

// gone returns an address of the network at which no host is.
func (f *fleet) gone(i int) string { return fmt.Sprintf("%s.%d", f.network, 200+i) }
