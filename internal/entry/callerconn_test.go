package entry

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a caller's connection", func() {
	pair := func() (caller, here net.Conn) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }() // one connection is all
		caller, err = net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		here, err = l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = caller.Close() }) // a spec may have closed it
		DeferCleanup(here.Close)
		return caller, here
	}

	It("tells whether the caller has left, also while it is being read", func() {
		caller, here := pair()
		ctx := WithConn(context.Background(), here)
		go func() {
			var b [1]byte
			_, _ = here.Read(b[:]) // as net/http does while a request is served
		}()
		Expect(callerLeft(ctx)).To(BeFalse())
		Expect(caller.Close()).To(Succeed())
		Eventually(func() bool { return callerLeft(ctx) }).WithTimeout(2 * time.Second).Should(BeTrue())
	})
	It("says nothing when more has come", func() {
		caller, here := pair()
		_, err := caller.Write([]byte("GET"))
		Expect(err).NotTo(HaveOccurred())
		Consistently(func() bool { return callerLeft(WithConn(context.Background(), here)) }).WithTimeout(100 * time.Millisecond).Should(BeFalse())
	})
	It("is not known in other contexts", func() {
		Expect(callerLeft(context.Background())).To(BeFalse())
	})
})
