package entry

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("detecting that a caller disconnected", func() {
	pair := func() (caller, here net.Conn) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }() // only one connection is accepted
		caller, err = net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		here, err = l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = caller.Close() }) // a spec may have closed it
		DeferCleanup(here.Close)
		return caller, here
	}

	It("reports a closed connection, also while it is being read", func() {
		caller, here := pair()
		ctx := WithCallerConn(context.Background(), here)
		go func() {
			var b [1]byte
			_, _ = here.Read(b[:]) // as net/http does while a request is served
		}()
		Expect(callerDisconnected(ctx)).To(BeFalse())
		Expect(caller.Close()).To(Succeed())
		Eventually(func() bool { return callerDisconnected(ctx) }).WithTimeout(2 * time.Second).Should(BeTrue())
	})
	It("reports no disconnect while there is unread data", func() {
		caller, here := pair()
		_, err := caller.Write([]byte("GET"))
		Expect(err).NotTo(HaveOccurred())
		Consistently(func() bool { return callerDisconnected(WithCallerConn(context.Background(), here)) }).WithTimeout(100 * time.Millisecond).Should(BeFalse())
	})
	It("reports no disconnect for a context without a connection", func() {
		Expect(callerDisconnected(context.Background())).To(BeFalse())
	})
})
