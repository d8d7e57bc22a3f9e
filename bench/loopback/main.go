// Command loopback measures entry hosts as real processes on loopback: the latency
// that they add to calling the server directly, and the resources they spend on
// the control plane when idle and under load. It limits and stops its own load.
package main

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
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/configsync"
	"github.com/gentianflow/gentianflow/internal/standin"
)

const (
	secret              = "bench-secret"
	service             = "app"
	startTimeout        = 10 * time.Second
	clockTicksPerSecond = 100 // for CPU times in /proc/PID/stat
	pageSize            = 4096
)

func main() {
	cmd := &cli.Command{
		Name: "loopback", Usage: "measure latency and resource usage of entry hosts on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gentiand", Value: "bin/gentiand"},
			&cli.IntFlag{Name: "hosts", Value: 6},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second; 0 measures idle hosts"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second},
			&cli.IntFlag{Name: "waiting", Usage: "number of requests to keep waiting while memory is measured"},
		},
		Action: measure,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "loopback:", err)
		os.Exit(1)
	}
}

// host is one gentiand process with its caller, control and admin addresses.
type host struct {
	cmd                    *exec.Cmd
	caller, control, admin string
}

var startedPattern = regexp.MustCompile(`callers (\S+) control (\S+) admin (\S+)"`)

func start(binary, name, platform string, seeds []string) (*host, error) {
	args := []string{
		"--host", name, "--availability-zone", "z1", "--fleet", "bench", "--platform", "http://" + platform,
		"--caller-address", "127.0.0.1:0", "--control-address", "127.0.0.1:0", "--admin-address", "127.0.0.1:0",
	}
	for _, s := range seeds {
		args = append(args, "--seed", s)
	}
	h := &host{cmd: exec.Command(binary, args...)}
	var log lockedBuffer
	h.cmd.Stderr = &log
	if err := h.cmd.Start(); err != nil {
		return nil, err
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if m := startedPattern.FindStringSubmatch(log.String()); m != nil {
			h.caller, h.control, h.admin = m[1], m[2], m[3]
			return h, nil
		}
	}
	return nil, fmt.Errorf("%s did not start: %s", name, log.String())
}

// lockedBuffer collects the log of a process. mu guards b.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

func measure(ctx context.Context, c *cli.Command) error {
	work := time.Duration(0)
	if c.Int("waiting") > 0 {
		work = time.Hour // no request finishes, so the others wait
	}
	backend, err := serve(standin.NewService("app-1", work, nil).Handler())
	if err != nil {
		return err
	}
	platform, err := serve(standin.NewPlatform(0).Handler())
	if err != nil {
		return err
	}
	var hosts []*host
	defer func() {
		for _, h := range hosts {
			_ = h.cmd.Process.Kill()
			_ = h.cmd.Wait()
		}
	}()
	var seeds []string
	for i := range c.Int("hosts") {
		h, err := start(c.String("gentiand"), fmt.Sprintf("entry-%d", i+1), platform, seeds[:min(3, len(seeds))])
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
		seeds = append(seeds, h.control)
	}
	if err := configure(hosts, backend, c.Int("waiting")); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // let membership settle before measuring
	switch {
	case c.Int("waiting") > 0:
		return measureWaiting(ctx, hosts, c.Int("waiting"))
	case c.Float("rate") > 0:
		direct := sendLoad(ctx, []string{backend}, "/call", c.Float("rate"), c.Duration("for"))
		before := readAllUsage(hosts)
		var callers []string
		for _, h := range hosts {
			callers = append(callers, h.caller)
		}
		through := sendLoad(ctx, callers, "/v1/services/"+service+"/call/call", c.Float("rate"), c.Duration("for"))
		report(hosts, before, readAllUsage(hosts), c.Duration("for"))
		fmt.Printf("rate %.0f/s: direct p50 %.3f p99 %.3f ms (%d, %d failed); through p50 %.3f p99 %.3f ms (%d, %d failed); added p50 %.3f p99 %.3f ms\n",
			c.Float("rate"), direct.ms(50), direct.ms(99), direct.count, direct.failed, through.ms(50), through.ms(99), through.count, through.failed,
			through.ms(50)-direct.ms(50), through.ms(99)-direct.ms(99))
	default:
		before := readAllUsage(hosts)
		time.Sleep(c.Duration("for"))
		report(hosts, before, readAllUsage(hosts), c.Duration("for"))
	}
	return nil
}

func configure(hosts []*host, backend string, waiting int) error {
	secretHash := sha256.Sum256([]byte(secret))
	slots := 4096
	if waiting > 0 {
		slots = 1
	}
	document := config.Document{
		Places: config.Places{Region: "r", AvailabilityZones: []string{"z1"}},
		Services: []config.Service{{Name: service, Kind: config.PlainService, BackendServers: []config.BackendServer{
			{Name: "app-1", Address: backend, AvailabilityZone: "z1", MaxSequences: slots},
		}}},
		ClientAccounts: []config.ClientAccount{{Name: "bench", SecretSHA256: hex.EncodeToString(secretHash[:]), Services: []string{service}}},
		Rules: config.Rules{
			Tiers:        []config.Tier{{Number: 1, Name: "t", Deadline: config.Duration(5 * time.Minute)}},
			RequestKinds: []config.RequestKind{{Name: "call", Service: service, Tier: 1}},
		},
	}
	text, err := config.Encode(&document)
	if err != nil {
		return err
	}
	body, err := json.Marshal(configsync.Proposal{ChangeID: "bench", Author: "bench", Text: text})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+hosts[0].admin+"/v1/config", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("configuration: %s", text)
	}
	return nil
}

// latencies are the results of one run. mu guards all fields.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	count     int
	failed    int
}

func (l *latencies) ms(p float64) float64 { return float64(l.histogram.ValueAtQuantile(p)) / 1000 }

// sendLoad sends requests to the addresses in turn, at a fixed rate that does not depend
// on the answers (open loop).
func sendLoad(ctx context.Context, addresses []string, path string, rate float64, d time.Duration) *latencies {
	l := &latencies{histogram: hdrhistogram.New(1, 60_000_000, 3)}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}, Timeout: 10 * time.Second}
	var requests sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < d && ctx.Err() == nil; i++ {
		next := begin.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		address := addresses[i%len(addresses)]
		requests.Go(func() { l.post(client, "http://"+address+path) })
	}
	requests.Wait()
	return l
}

func (l *latencies) post(client *http.Client, url string) {
	begin := time.Now()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"n":1}`))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := client.Do(req)
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	if !ok {
		l.failed++
		return
	}
	_ = l.histogram.RecordValue(time.Since(begin).Microseconds())
}

// usage is the resource usage of one process since its start.
type usage struct {
	cpu      time.Duration
	rss      int64
	sent     int64
	received int64
}

func readAllUsage(hosts []*host) []usage {
	out := make([]usage, len(hosts))
	for i, h := range hosts {
		out[i] = readUsage(h)
	}
	return out
}

func readUsage(h *host) usage {
	var u usage
	pid := h.cmd.Process.Pid
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		f := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+2:]))
		user, _ := strconv.ParseInt(f[11], 10, 64)
		system, _ := strconv.ParseInt(f[12], 10, 64)
		pages, _ := strconv.ParseInt(f[21], 10, 64)
		u.cpu = time.Duration(user+system) * time.Second / clockTicksPerSecond
		u.rss = pages * pageSize
	}
	resp, err := http.Get("http://" + h.admin + "/metrics")
	if err != nil {
		return u
	}
	defer func() { _ = resp.Body.Close() }()
	var m struct {
		Sent     struct{ Value int64 } `json:"control.sent_bytes"`
		Received struct{ Value int64 } `json:"control.received_bytes"`
	}
	if json.NewDecoder(resp.Body).Decode(&m) == nil {
		u.sent, u.received = m.Sent.Value, m.Received.Value
	}
	return u
}

// report prints the mean and the maximum over all hosts.
func report(hosts []*host, before, after []usage, d time.Duration) {
	var cpu, maxCPU, rss, sent, received, maxSent float64
	for i := range hosts {
		c := (after[i].cpu - before[i].cpu).Seconds() / d.Seconds() * 100
		s := float64(after[i].sent-before[i].sent) / d.Seconds()
		cpu, maxCPU = cpu+c, max(maxCPU, c)
		rss += float64(after[i].rss)
		sent, maxSent = sent+s, max(maxSent, s)
		received += float64(after[i].received-before[i].received) / d.Seconds()
	}
	n := float64(len(hosts))
	fmt.Printf("%d hosts: processor %.2f%% of a core each (most %.2f%%), memory %.1f MB, control sent %.0f B/s (most %.0f), received %.0f B/s\n",
		len(hosts), cpu/n, maxCPU, rss/n/1e6, sent/n, maxSent, received/n)
}

// measureWaiting measures the memory of all hosts while n requests wait.
func measureWaiting(ctx context.Context, hosts []*host, n int) error {
	before := readAllUsage(hosts)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body := strings.Repeat("x", 1024)
	for i := range n {
		url := "http://" + hosts[i%len(hosts)].caller + "/v1/services/" + service + "/call/call"
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+secret)
		go func() {
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}()
	}
	time.Sleep(5 * time.Second)
	after := readAllUsage(hosts)
	var growth int64
	for i := range hosts {
		growth += after[i].rss - before[i].rss
	}
	fmt.Printf("%d waiting over %d hosts: memory +%.2f MB in all, %.1f KB for each (1 KB bodies, one connection each)\n",
		n, len(hosts), float64(growth)/1e6, float64(growth)/float64(n)/1e3)
	time.Sleep(5 * time.Second)
	report(hosts, after, readAllUsage(hosts), 5*time.Second)
	return nil
}
