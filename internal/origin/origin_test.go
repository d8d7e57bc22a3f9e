package origin

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOrigin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "origin")
}

var _ = Describe("the records of streams", func() {
	It("are kept until the streams can't be taken up any more", func() {
		t := NewTable()
		t.Put(0, Record{Key: 1, Version: "v1", Until: 10 * time.Second})
		t.Put(0, Record{Key: 2, Version: "v2", Until: 20 * time.Second})
		version, ok := t.Get(9*time.Second, 1)
		Expect(version).To(Equal("v1"))
		Expect(ok).To(BeTrue())
		_, ok = t.Get(10*time.Second, 1)
		Expect(ok).To(BeFalse())
		t.Expire(12 * time.Second)
		Expect(t.Len()).To(Equal(1))
		Expect(t.All(12 * time.Second)).To(Equal([]Record{{Key: 2, Version: "v2", Until: 20 * time.Second}}))
	})

	// Guards against a record that ends with its first attempt although a later one goes on.
	It("are prolonged, never shortened", func() {
		t := NewTable()
		t.Put(0, Record{Key: 1, Version: "v1", Until: 5 * time.Second})
		t.Put(0, Record{Key: 1, Version: "v1", Until: 15 * time.Second})
		t.Put(0, Record{Key: 1, Version: "v1", Until: 2 * time.Second})
		t.Expire(10 * time.Second)
		_, ok := t.Get(14*time.Second, 1)
		Expect(ok).To(BeTrue())
		t.Expire(17 * time.Second)
		Expect(t.Len()).To(BeZero())
	})

	It("are forgotten for the version that did not run the stream only", func() {
		t := NewTable()
		t.Put(0, Record{Key: 1, Version: "v1", Until: time.Second})
		t.Forget(1, "v2")
		Expect(t.Len()).To(Equal(1))
		t.Forget(1, "v1")
		Expect(t.Len()).To(BeZero())
	})

	// Guards against memory that grows with what callers send.
	It("are bounded, and those that end first are given up", func() {
		t := NewTable()
		for i := range 3 * maxRecords {
			t.Put(0, Record{Key: Key(i + 1), Version: "v1", Until: time.Duration(1+i%60) * time.Second})
		}
		Expect(t.Len()).To(BeNumerically("<=", maxRecords))
		t.Expire(2 * time.Minute)
		Expect(t.Len()).To(BeZero())
		Expect(t.expiring).To(BeEmpty())
	})

	It("have keys of account, service and attempt", func() {
		keys := map[Key]string{}
		for _, parts := range [][3]string{{"a", "s", "1"}, {"b", "s", "1"}, {"a", "t", "1"}, {"a", "s", "2"}, {"as", "", "1"}, {"", "as", "1"}} {
			k := KeyOf(parts[0], parts[1], parts[2])
			Expect(keys).NotTo(HaveKey(k), fmt.Sprint(parts))
			keys[k] = fmt.Sprint(parts)
		}
		Expect(KeyOf("a", "s", "")).To(BeZero())
	})
})
