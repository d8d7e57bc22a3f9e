package crowd

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/gentianflow/gentianflow/caller"
	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/configsync"
	"github.com/gentianflow/gentianflow/internal/history"
	"github.com/gentianflow/gentianflow/internal/standin"
)

// ownProgram is the path of the built gentiand.
var ownProgram string

const (
	ownService = "loop-app"
	ownSecret  = "crowd-secret"
	ownMemory  = "56MiB" // the soft limit of the Go runtime, which leaves room below memoryMB for the rest
	// ownDescriptors is the limit of open files that the process starts with.
	ownDescriptors = 500
)

// ownHost is one gentiand process with a plain service.
type ownHost struct {
	session *gexec.Session
	ip      string
	callers string
	admin   string
}

var ownStarted = regexp.MustCompile(`name=process_started detail="incarnation \S+ callers (\S+) control \S+ admin (\S+)"`)

func newOwnHost() *ownHost {
	platform := httptest.NewServer(standin.NewPlatform(0).Handler())
	DeferCleanup(platform.Close)
	service := httptest.NewServer(standin.NewService("app-1", time.Millisecond, history.NewLog(nil)).Handler())
	DeferCleanup(service.Close)
	h := &ownHost{ip: "127.77.0.1"}
	args := []string{
		"--host", "entry-1", "--availability-zone", "fukuoka-hall", "--fleet", "crowd", "--platform", platform.URL,
		"--caller-address", h.ip + ":0", "--control-address", h.ip + ":0", "--admin-address", h.ip + ":0",
	}
	limited := fmt.Sprintf("ulimit -n %d; exec %s %s", ownDescriptors, ownProgram, strings.Join(args, " "))
	cmd := exec.Command("/bin/sh", "-c", limited)
	cmd.Env = append(os.Environ(), "GOMEMLIMIT="+ownMemory)
	var err error
	h.session, err = gexec.Start(cmd, nil, nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Printf("the last lines of the host:\n%s\n", lastLines(h.session.Err.Contents()))
		}
		h.session.Kill()
		Eventually(h.session).Should(gexec.Exit())
	})
	var m [][]byte
	Eventually(func() [][]byte {
		m = ownStarted.FindSubmatch(h.session.Err.Contents())
		return m
	}).ShouldNot(BeNil())
	h.callers, h.admin = string(m[1]), string(m[2])
	h.configure(service.Listener.Addr().String())
	Eventually(h.ordinary).Should(Succeed())
	return h
}

func (h *ownHost) configure(service string) {
	sum := sha256.Sum256([]byte(ownSecret))
	text, err := config.Encode(&config.Document{
		Places:         config.Places{Region: "kyushu", AvailabilityZones: []string{"fukuoka-hall"}},
		ClientAccounts: []config.ClientAccount{{Name: "tests", SecretSHA256: hex.EncodeToString(sum[:]), Services: []string{ownService}}},
		Services: []config.Service{{Name: ownService, Kind: config.PlainService, BackendServers: []config.BackendServer{
			{Name: "app-1", Address: service, AvailabilityZone: "fukuoka-hall"},
		}}},
		Rules: config.Rules{
			Lookup:       config.LookupRules{TTL: config.Duration(time.Second)},
			Limits:       config.Limits{BodyBytes: maxBodyBytes, HeldBytes: 8 << 20},
			Tiers:        []config.Tier{{Number: 1, Name: "locker", Deadline: config.Duration(5 * time.Second)}},
			RequestKinds: []config.RequestKind{{Name: "match", Service: ownService, Tier: 1, Deadline: config.Duration(5 * time.Second)}},
		},
	})
	Expect(err).NotTo(HaveOccurred())
	body, err := json.Marshal(configsync.Proposal{ChangeID: "first", Author: "crowd", Text: text})
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() int {
		resp, err := http.Post("http://"+h.admin+"/v1/config", "application/json", bytes.NewReader(body))
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}).Should(Equal(http.StatusOK))
}

// ordinary sends a request through the client library, which retries a few times.
func (h *ownHost) ordinary() error {
	c := caller.New(caller.Options{Service: ownService, Secret: ownSecret, Hosts: []string{h.callers}})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := c.Do(ctx, &caller.Request{Kind: "match", Path: "match", Body: []byte("payload")})
	return err
}

func (h *ownHost) expectSound(when string) {
	Expect(h.session.ExitCode()).To(Equal(-1), "%s: the process lives", when)
	Expect(h.ordinary()).To(Succeed(), "%s: an ordinary request", when)
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := c.Get("http://" + h.admin + "/v1/status")
	Expect(err).NotTo(HaveOccurred(), "%s: an operator's call", when)
	_ = resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK), "%s: an operator's call", when)
}

// ownHead returns the head of a call of the plain service without its empty last line.
func ownHead(framing string, more ...string) []byte {
	lines := []string{"POST /v1/services/" + ownService + "/call/match HTTP/1.1", "Host: x", "Gentian-Kind: match", "Authorization: Bearer " + ownSecret, framing}
	return []byte(strings.Join(append(lines, more...), "\r\n") + "\r\n")
}

var ownCrowds = map[string]struct {
	connections int
	operators   bool // at the operators' address
	client      client
}{
	"bodies that lack their last byte": {120, false, func(conn net.Conn, _ int) {
		sendAll(conn, ownHead(withLength(maxBodyBytes)), endOfHead, largestBody[1:])
	}},
	"chunks without the last one": {120, false, func(conn net.Conn, _ int) {
		if !sendAll(conn, ownHead(inChunks), endOfHead) {
			return
		}
		for range maxBodyBytes/(64<<10) - 1 {
			if !sendAll(conn, chunk64K) {
				return
			}
		}
	}},
	"heads of short lines with half a body": {400, false, func(conn net.Conn, _ int) {
		sendAll(conn, ownHead(withLength(100), shortLines(largeHead)), endOfHead, largestBody[:50])
	}},
	"a head without end": {200, false, func(conn net.Conn, _ int) {
		if sendAll(conn, ownHead(withLength(10))) {
			repeat(conn, "name: value\r\n", 1<<20)
		}
	}},
	"a head without end for operators": {200, true, func(conn net.Conn, _ int) {
		if sendAll(conn, []byte("GET /v1/status HTTP/1.1\r\nHost: x\r\n")) {
			repeat(conn, "name: value\r\n", 1<<20)
		}
	}},
	"operators' calls with a body that does not come": {400, true, func(conn net.Conn, _ int) {
		sendAll(conn, []byte("GET /v1/status HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"))
	}},
	"look-ups with a body that does not come": {400, false, func(conn net.Conn, _ int) {
		sendAll(conn, []byte("GET /v1/lookup HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"))
	}},
	"heads that are begun":              {700, false, func(conn net.Conn, _ int) { sendAll(conn, ownHead(withLength(10))) }},
	"heads that are begun by operators": {700, true, func(conn net.Conn, _ int) { sendAll(conn, []byte("GET /v1/status HTTP/1.1\r\nHost: x\r\n")) }},
}

var _ = Describe("a crowd of clients of the product's own interface", Serial, func() {
	for name, c := range ownCrowds {
		// Guards against a host whose memory or descriptors clients use up.
		It("does not exhaust gentiand: "+name, func() {
			h := newOwnHost()
			address := h.callers
			if c.operators {
				address = h.admin
			}
			o := observe(h.session, h.ip)
			g := gather(c.connections, address, c.client)
			o.sample()
			h.expectSound("beside the crowd")
			o.sample()
			g.leave()
			h.expectSound("after the crowd")
			memory, open := o.end()
			GinkgoWriter.Printf("peaks: %d MB, %d descriptors\n", memory, open)
			Expect(memory).To(BeNumerically("<", memoryMB), "MB of memory and unread bytes")
			// One below the limit, so that the host can accept a further connection.
			Expect(open).To(BeNumerically("<", ownDescriptors), "open descriptors")
		})
	}
})
