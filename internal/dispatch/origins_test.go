package dispatch

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/origin"
	"github.com/gentianflow/gentianflow/internal/ring"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/internal/wire"
)

// originsOf returns the versions that a loop has recorded.
func originsOf(l *Loop) map[origin.Key]string {
	known := map[origin.Key]string{}
	l.QueryAt(context.Background(), func(now sched.Time, s *sched.Scheduler) {
		for _, r := range s.Origins(now) {
			known[r.Key] = r.Version
		}
	})
	return known
}

// reportedOrigins drains what was sent to a home.
func reportedOrigins(l *homeLink) map[origin.Key]string {
	known := map[origin.Key]string{}
	for _, m := range l.out.Drain(nil) {
		for _, r := range decodeOrigins(0, m.Origins) {
			known[r.Key] = r.Version
		}
	}
	return known
}

var _ = Describe("the version at which a stream began", func() {
	// Guards against a record that is lost with the home.
	It("is merged from all hosts that begin to follow a home", func() {
		h, loop := startHome()
		h.Lead(true)
		openLink(h).send(&wire.ToHome{Origins: []*wire.Origins{{Version: "v1", LeftMs: 9000, Keys: []uint64{1, 2}}}})
		// The links have one incarnation, so the second one supersedes the first.
		Eventually(func() map[origin.Key]string { return originsOf(loop) }).Should(HaveLen(2))
		openLink(h).send(&wire.ToHome{Origins: []*wire.Origins{{Version: "v2", LeftMs: 9000, Keys: []uint64{3}}}})
		Eventually(func() map[origin.Key]string { return originsOf(loop) }).Should(Equal(map[origin.Key]string{1: "v1", 2: "v1", 3: "v2"}))
	})

	It("is kept by the host that carries the stream and sent to a home that it begins to follow", func() {
		c, loop := startHost(neverLeaving, "a")
		c.mu.Lock()
		c.noteOrigin(time.Now(), &PlacementRequest{Origin: 5, Resumed: &sched.Resumed{From: 4}, Deadline: time.Now().Add(time.Second)}, "v2")
		c.noteOrigin(time.Now(), &PlacementRequest{Deadline: time.Now().Add(time.Second)}, "v2") // not resumable
		c.mu.Unlock()
		Eventually(func() map[origin.Key]string { return originsOf(loop) }).Should(Equal(map[origin.Key]string{4: "v2", 5: "v2"}))
		l := &homeLink{out: ring.New[*wire.ToHome](64)}
		c.follow(l)
		Eventually(func() map[origin.Key]string { return reportedOrigins(l) }).Should(Equal(map[origin.Key]string{4: "v2", 5: "v2"}))
	})

	// Guards against a home that does not know what a host placed by itself.
	It("is reported to the home where this host placed the stream", func() {
		c, _ := startHost(neverLeaving, "a")
		l := &homeLink{out: ring.New[*wire.ToHome](64)}
		c.mu.Lock()
		c.link = l
		c.mu.Unlock()
		c.ReportOrigins(0, []origin.Record{{Key: 7, Version: "v1", Until: time.Second}})
		Expect(reportedOrigins(l)).To(Equal(map[origin.Key]string{7: "v1"}))
	})

	It("is passed on in few messages, as soon as streams are placed", func() {
		c, loop := startHost(neverLeaving, "a")
		var passedOn []origin.Record
		loop.Do(func(sched.Time, *sched.Scheduler) {
			loop.onOrigins = func(_ sched.Time, records []origin.Record) { passedOn = append(passedOn, records...) }
		})
		r := request()
		r.Origin = 9
		_, err := c.Acquire(context.Background(), r)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() (n int) {
			loop.Query(context.Background(), func(*sched.Scheduler) { n = len(passedOn) })
			return n
		}).WithTimeout(100 * time.Millisecond).Should(Equal(1))
		Expect(passedOn[0].Key).To(Equal(origin.Key(9)))
	})

	It("is encoded in groups, with the time left rounded up", func() {
		records := []origin.Record{{Key: 1, Version: "v1", Until: 1500 * time.Millisecond}, {Key: 2, Version: "v1", Until: 2 * time.Second}, {Key: 3, Version: "v2", Until: time.Second}}
		encoded := encodeOrigins(0, records)
		Expect(encoded).To(HaveLen(2))
		records[0].Until = 2 * time.Second
		Expect(decodeOrigins(0, encoded)).To(ConsistOf(records))
	})
})
