package platform

import (
	"net/http/httptest"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("another address of the store in the settings", func() {
	// Hosts that stay with the old address learn nothing any more once it is closed: a key that was taken
	// away is accepted and a server that leaves gets requests for good.
	DescribeTable("is used by running hosts",
		func(signal bool) {
			s := newSite(siteOptions{hosts: 3, apps: 3, largeFirst: true})
			moved := httptest.NewServer(s.store.Handler())
			DeferCleanup(moved.Close)
			old := s.api
			s.storeAddress = moved.Listener.Addr().String()
			for _, h := range s.hosts {
				s.writeSettings(h)
				if signal {
					h.session.Signal(syscall.SIGHUP)
				}
			}
			time.Sleep(4 * time.Second)
			old.CloseClientConnections()
			Expect(old.Listener.Close()).To(Succeed())
			time.Sleep(time.Second)
			s.changeConfig(takeKeyAway)
			s.expectInForce()
			leaving := s.servers[1]
			from := map[*host]int{}
			for _, h := range s.hosts {
				from[h] = h.logLength()
			}
			leaving.Drain()
			for _, h := range s.hosts {
				h.expectDropped(leaving, from[h])
			}
		},
		Entry("after SIGHUP", true),
		Entry("without a signal", false),
	)
})
