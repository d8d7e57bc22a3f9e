// Command loopback measures entry hosts as real processes on loopback:
// latency added over calling the server directly, and what hosts spend on
// control when idle and under load. It bounds and stops its own load.
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
	secret    = "bench-secret"
	service   = "app"
	startWait = 10 * time.Second
	ticksHz   = 100 // of /proc/PID/stat
	pageSize  = 4096
)

func main() {
	cmd := &cli.Command{
		Name: "loopback", Usage: "measure entry hosts on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gentiand", Value: "bin/gentiand"},
			&cli.IntFlag{Name: "hosts", Value: 6},
			&cli.FloatFlag{Name: "rate", Usage: "requests a second; 0 measures idle hosts"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second},
			&cli.IntFlag{Name: "waiting", Usage: "requests to leave waiting while memory is read"},
		},
		Action: measure,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "loopback:", err)
		os.Exit(1)
	}
}

// host is one gentiand process.
type host struct {
	cmd                    *exec.Cmd
	caller, control, admin string
}

var started = regexp.MustCompile(`callers (\S+) control (\S+) admin (\S+)"`)

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
	for end := time.Now().Add(startWait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if m := started.FindStringSubmatch(log.String()); m != nil {
			h.caller, h.control, h.admin = m[1], m[2], m[3]
			return h, nil
		}
	}
	return nil, fmt.Errorf("%s did not start: %s", name, log.String())
}

// lockedBuffer keeps the log of a process. mu guards b.
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
		work = time.Hour // nothing finishes, so requests wait
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
	time.Sleep(5 * time.Second) // let membership settle before the books are opened
	switch {
	case c.Int("waiting") > 0:
		return measureWaiting(ctx, hosts, c.Int("waiting"))
	case c.Float("rate") > 0:
		direct := drive(ctx, []string{backend}, "/call", c.Float("rate"), c.Duration("for"))
		before := readAll(hosts)
		var callers []string
		for _, h := range hosts {
			callers = append(callers, h.caller)
		}
		through := drive(ctx, callers, "/v1/services/"+service+"/call/call", c.Float("rate"), c.Duration("for"))
		report(hosts, before, readAll(hosts), c.Duration("for"))
		fmt.Printf("rate %.0f/s: direct p50 %.3f p99 %.3f ms (%d, %d failed); through p50 %.3f p99 %.3f ms (%d, %d failed); added p50 %.3f p99 %.3f ms\n",
			c.Float("rate"), direct.ms(50), direct.ms(99), direct.n, direct.failed, through.ms(50), through.ms(99), through.n, through.failed,
			through.ms(50)-direct.ms(50), through.ms(99)-direct.ms(99))
	default:
		before := readAll(hosts)
		time.Sleep(c.Duration("for"))
		report(hosts, before, readAll(hosts), c.Duration("for"))
	}
	return nil
}

func configure(hosts []*host, backend string, waiting int) error {
	sum := sha256.Sum256([]byte(secret))
	slots := 4096
	if waiting > 0 {
		slots = 1
	}
	d := config.Document{
		Places: config.Places{Region: "r", AvailabilityZones: []string{"z1"}},
		Services: []config.Service{{Name: service, Kind: config.PlainService, BackendServers: []config.BackendServer{
			{Name: "app-1", Address: backend, AvailabilityZone: "z1", MaxSequences: slots},
		}}},
		ClientAccounts: []config.ClientAccount{{Name: "bench", SecretSHA256: hex.EncodeToString(sum[:]), Services: []string{service}}},
		Rules: config.Rules{
			Tiers:        []config.Tier{{Number: 1, Name: "t", Deadline: config.Duration(5 * time.Minute)}},
			RequestKinds: []config.RequestKind{{Name: "call", Service: service, Tier: 1}},
		},
	}
	text, err := config.Encode(&d)
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

// latencies of one run. mu guards all fields.
type latencies struct {
	mu     sync.Mutex
	h      *hdrhistogram.Histogram
	n      int
	failed int
}

func (l *latencies) ms(p float64) float64 { return float64(l.h.ValueAtQuantile(p)) / 1000 }

// drive posts at a fixed rate, open loop, spread over the addresses.
func drive(ctx context.Context, addresses []string, path string, rate float64, d time.Duration) *latencies {
	l := &latencies{h: hdrhistogram.New(1, 60_000_000, 3)}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}, Timeout: 10 * time.Second}
	var all sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < d && ctx.Err() == nil; i++ {
		next := begin.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		address := addresses[i%len(addresses)]
		all.Go(func() { l.one(client, "http://"+address+path) })
	}
	all.Wait()
	return l
}

func (l *latencies) one(client *http.Client, url string) {
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
	l.n++
	if !ok {
		l.failed++
		return
	}
	_ = l.h.RecordValue(time.Since(begin).Microseconds())
}

// books are what one process has spent so far.
type books struct {
	cpu      time.Duration
	rss      int64
	sent     int64
	received int64
}

func readAll(hosts []*host) []books {
	out := make([]books, len(hosts))
	for i, h := range hosts {
		out[i] = read(h)
	}
	return out
}

func read(h *host) books {
	var b books
	pid := h.cmd.Process.Pid
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		f := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+2:]))
		user, _ := strconv.ParseInt(f[11], 10, 64)
		system, _ := strconv.ParseInt(f[12], 10, 64)
		pages, _ := strconv.ParseInt(f[21], 10, 64)
		b.cpu = time.Duration(user+system) * time.Second / ticksHz
		b.rss = pages * pageSize
	}
	resp, err := http.Get("http://" + h.admin + "/metrics")
	if err != nil {
		return b
	}
	defer func() { _ = resp.Body.Close() }()
	var m struct {
		Sent     struct{ Value int64 } `json:"control.sent_bytes"`
		Received struct{ Value int64 } `json:"control.received_bytes"`
	}
	if json.NewDecoder(resp.Body).Decode(&m) == nil {
		b.sent, b.received = m.Sent.Value, m.Received.Value
	}
	return b
}

// report prints the mean and the most of all hosts.
func report(hosts []*host, before, after []books, d time.Duration) {
	var cpu, most, rss, sent, received, mostSent float64
	for i := range hosts {
		c := (after[i].cpu - before[i].cpu).Seconds() / d.Seconds() * 100
		s := float64(after[i].sent-before[i].sent) / d.Seconds()
		cpu, most = cpu+c, max(most, c)
		rss += float64(after[i].rss)
		sent, mostSent = sent+s, max(mostSent, s)
		received += float64(after[i].received-before[i].received) / d.Seconds()
	}
	n := float64(len(hosts))
	fmt.Printf("%d hosts: processor %.2f%% of a core each (most %.2f%%), memory %.1f MB, control sent %.0f B/s (most %.0f), received %.0f B/s\n",
		len(hosts), cpu/n, most, rss/n/1e6, sent/n, mostSent, received/n)
}

// measureWaiting leaves requests waiting and reads the memory of all hosts.
func measureWaiting(ctx context.Context, hosts []*host, n int) error {
	before := readAll(hosts)
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
	after := readAll(hosts)
	var grown int64
	for i := range hosts {
		grown += after[i].rss - before[i].rss
	}
	fmt.Printf("%d waiting over %d hosts: memory +%.2f MB in all, %.1f KB for each (1 KB bodies, one connection each)\n",
		n, len(hosts), float64(grown)/1e6, float64(grown)/float64(n)/1e3)
	time.Sleep(5 * time.Second)
	report(hosts, after, readAll(hosts), 5*time.Second)
	return nil
}
