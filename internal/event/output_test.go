package event

import (
	"bytes"
	"context"
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
)

var _ = Describe("the log output", func() {
	run := func(o *Output) {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go o.Run(ctx)
	}

	It("writes lines in order", func() {
		out := gbytes.NewBuffer()
		o := NewOutput(out)
		run(o)
		for _, l := range []string{"a\n", "b\n", "c\n"} {
			_, err := o.Write([]byte(l))
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(out).Should(gbytes.Say("a\nb\nc\n"))
	})

	// When the log collector stalls and the pipe is full, requests must not block.
	It("does not block when the reader stalls, and counts dropped lines", func() {
		r, w := io.Pipe()
		DeferCleanup(r.Close)
		o := NewOutput(w)
		run(o)
		start := time.Now()
		for range 3 * maxQueuedLines {
			_, _ = o.Write([]byte("line\n"))
		}
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		Expect(o.Dropped()).To(BeNumerically(">", 0))
	})

	It("stays within its rate limit under load", func() {
		var out bytes.Buffer
		o := NewOutput(&out)
		for range 10 * maxLineBurst {
			_, _ = o.Write([]byte("line\n"))
			o.flush()
		}
		Expect(strings.Count(out.String(), "\n")).To(BeNumerically("<", 2*maxLineBurst))
	})
})
