package notice_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/internal/notice"
)

func TestNotice(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "notice")
}

func limit(n float64) notice.Notice {
	return notice.Notice{Limit: notice.Limit{Named: true, PerSecond: n}}
}

var _ = Describe("the notices of servers", func() {
	now := time.Now()

	It("are valid until a newer answer states something else", func() {
		t := notice.NewTable()
		_, changed := t.Hear(now, "a", limit(2))
		Expect(changed).To(BeTrue())
		_, changed = t.Hear(now.Add(time.Second), "a", limit(2))
		Expect(changed).To(BeFalse())
		Expect(t.Of("a").Age(now.Add(3 * time.Second))).To(Equal(2 * time.Second))
		change, changed := t.Hear(now.Add(2*time.Second), "a", notice.Notice{})
		Expect(changed).To(BeTrue())
		Expect(change).To(Equal(notice.Change{Server: "a", Before: limit(2)}))
		Expect(t.Count(now)).To(BeZero())
	})

	It("keep a server as leaving permanently", func() {
		t := notice.NewTable()
		change, _ := t.Hear(now, "a", notice.Notice{Leaving: true})
		Expect(change.Leaves()).To(BeTrue())
		_, changed := t.Hear(now, "a", notice.Notice{})
		Expect(changed).To(BeFalse())
		Expect(t.Of("a").Leaving).To(BeTrue())
	})

	It("keep the latest end of several backoffs", func() {
		t := notice.NewTable()
		backoff := func(d time.Duration) notice.Notice { return notice.Notice{Rest: d} }
		t.Hear(now, "a", backoff(3*time.Second))
		t.Hear(now.Add(time.Second), "a", backoff(time.Second))
		t.Hear(now.Add(time.Second), "a", notice.Notice{})
		Expect(t.Of("a").Rest(now.Add(time.Second))).To(Equal(2 * time.Second))
		Expect(t.Count(now.Add(time.Second)).Resting).To(Equal(1))
		t.Hear(now.Add(2*time.Second), "a", backoff(3*time.Second))
		Expect(t.Of("a").Rest(now.Add(4 * time.Second))).To(Equal(time.Second))
		Expect(t.Of("a").Rest(now.Add(6 * time.Second))).To(BeZero())
	})

	It("are not kept for servers that state nothing or are no longer listed", func() {
		t := notice.NewTable()
		_, changed := t.Hear(now, "a", notice.Notice{})
		Expect(changed).To(BeFalse())
		t.Hear(now, "b", limit(1))
		unlisted := func(server string) bool { return server != "b" }
		t.Retain(now.Add(notice.KeptUnlisted), unlisted)
		Expect(t.Of("b").Notice).To(Equal(limit(1)), "its entry may come back")
		t.Retain(now.Add(notice.KeptUnlisted+1), unlisted)
		Expect(t.Of("b")).To(BeZero())
	})
})
