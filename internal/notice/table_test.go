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
	return notice.Notice{Limit: notice.Limit{Valid: true, PerSecond: n}}
}

var _ = Describe("the notices of servers", func() {
	now := time.Now()

	It("are valid until a newer answer states something else", func() {
		t := notice.NewTable()
		_, changed := t.Update(now, "a", limit(2))
		Expect(changed).To(BeTrue())
		_, changed = t.Update(now.Add(time.Second), "a", limit(2))
		Expect(changed).To(BeFalse())
		Expect(t.Get("a").Age(now.Add(3 * time.Second))).To(Equal(2 * time.Second))
		change, changed := t.Update(now.Add(2*time.Second), "a", notice.Notice{})
		Expect(changed).To(BeTrue())
		Expect(change).To(Equal(notice.Change{Server: "a", Before: limit(2)}))
		Expect(t.Count(now)).To(BeZero())
	})

	It("keep a server as leaving permanently", func() {
		t := notice.NewTable()
		change, _ := t.Update(now, "a", notice.Notice{Leaving: true})
		Expect(change.StartsLeaving()).To(BeTrue())
		_, changed := t.Update(now, "a", notice.Notice{})
		Expect(changed).To(BeFalse())
		Expect(t.Get("a").Leaving).To(BeTrue())
	})

	It("keep the latest end of several backoffs", func() {
		t := notice.NewTable()
		backoff := func(d time.Duration) notice.Notice { return notice.Notice{Backoff: d} }
		t.Update(now, "a", backoff(3*time.Second))
		t.Update(now.Add(time.Second), "a", backoff(time.Second))
		t.Update(now.Add(time.Second), "a", notice.Notice{})
		Expect(t.Get("a").Backoff(now.Add(time.Second))).To(Equal(2 * time.Second))
		Expect(t.Count(now.Add(time.Second)).BackingOff).To(Equal(1))
		t.Update(now.Add(2*time.Second), "a", backoff(3*time.Second))
		Expect(t.Get("a").Backoff(now.Add(4 * time.Second))).To(Equal(time.Second))
		Expect(t.Get("a").Backoff(now.Add(6 * time.Second))).To(BeZero())
	})

	It("are not kept for servers that state nothing or are no longer listed", func() {
		t := notice.NewTable()
		_, changed := t.Update(now, "a", notice.Notice{})
		Expect(changed).To(BeFalse())
		t.Update(now, "b", limit(1))
		unlisted := func(server string) bool { return server != "b" }
		t.Retain(now.Add(notice.UnlistedRetention), unlisted)
		Expect(t.Get("b").Notice).To(Equal(limit(1)), "its entry may come back")
		t.Retain(now.Add(notice.UnlistedRetention+1), unlisted)
		Expect(t.Get("b")).To(BeZero())
	})
})
