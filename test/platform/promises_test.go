package platform

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gentianflow/gentianflow/platform/standin"
)

// exchange is a call with its reply and its runs at servers.
type exchange struct {
	call  standin.Call
	reply standin.Reply
	runs  []standin.Run
	// planned is set when only planned work (shutdowns, restarts one by one) happened to
	// the host meanwhile.
	planned bool
}

// brokenPromises returns the promises that an exchange violates. An attempt is one send of a
// call by its caller; a call that is sent again is another attempt.
func brokenPromises(e exchange) (promises []string) {
	report := func(violated bool, promise string) {
		if violated {
			promises = append(promises, promise)
		}
	}
	atMostOnce := strings.HasPrefix(e.call.Path, standin.ConfirmPath) || strings.HasPrefix(e.call.Path, standin.BulkPath)
	report(atMostOnce && len(e.runs) > 1, "runs at most once")
	switch e.reply.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		report(len(e.runs) > 0, "what is told not to have run did not run")
	case http.StatusOK:
		expected := e.call.Expected(e.reply.Attempt)
		report(e.reply.Complete && e.reply.Body != expected, "an answer is whole and its own")
		report(!e.reply.Complete && !strings.HasPrefix(expected, e.reply.Body), "what came of a broken answer is its own")
		report(e.reply.Complete && e.reply.Header.Get("Gentianflow-Server-Seal") == "", "a success bears its server's signature")
	}
	report(e.planned && !e.reply.Complete && len(e.runs) > 0, "planned work cuts nothing off")
	for _, run := range e.runs {
		report(run.Key != "", "keys are not passed on")
		report(run.Target != e.call.Path || run.Body != e.call.Body, "servers get what the caller sent")
	}
	return promises
}

// checkPromises checks the promises for every call that was sent.
func (s *site) checkPromises() { s.checkPromisesFrom(0, nil) }

// checkPromisesFrom checks the calls from index first on and returns the number of all calls.
// planned, if set, reports whether only planned work happened during the i-th call.
func (s *site) checkPromisesFrom(first int, planned func(i int) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := first; i < len(s.replies); i++ {
		e := exchange{call: s.sent[i], reply: s.replies[i], runs: s.runsOf(s.replies[i].Attempt)}
		e.planned = planned != nil && planned(i)
		Expect(brokenPromises(e)).To(BeEmpty(), fmt.Sprintf("%s %s: status %d complete %v err %v, %d runs",
			e.call.Path, e.reply.Attempt, e.reply.Status, e.reply.Complete, e.reply.Err, len(e.runs)))
	}
	return len(s.replies)
}

// validExchange returns an exchange that keeps all promises.
func validExchange(c standin.Call) exchange {
	const id = "00000000000000aa"
	return exchange{
		call: c,
		reply: standin.Reply{
			Attempt: id, Status: http.StatusOK, Complete: true, Body: c.Expected(id),
			Header: http.Header{"Gentianflow-Server-Seal": {"seal"}},
		},
		runs: []standin.Run{{Attempt: id, Target: c.Path, Body: c.Body}},
	}
}

var _ = Describe("the checks of the promises", func() {
	It("accept an exchange that keeps them", func() {
		for _, c := range []standin.Call{confirm(), check(), appraise(), digest()} {
			Expect(brokenPromises(validExchange(c))).To(BeEmpty(), c.Path)
		}
	})

	// Each exchange differs from a valid one in one respect.
	DescribeTable("report the promise that is broken",
		func(promise string, c standin.Call, change func(e *exchange)) {
			e := validExchange(c)
			change(&e)
			Expect(brokenPromises(e)).To(Equal([]string{promise}))
		},
		Entry("a second run", "runs at most once", confirm(), func(e *exchange) { e.runs = append(e.runs, e.runs[0]) }),
		Entry("a second run of a stream that does not resume", "runs at most once", digest(), func(e *exchange) { e.runs = append(e.runs, e.runs[0]) }),
		Entry("a run of a request that was refused", "what is told not to have run did not run", confirm(), func(e *exchange) { e.reply.Status = 503 }),
		Entry("a run of a request that exceeded its quota", "what is told not to have run did not run", appraise(), func(e *exchange) { e.reply.Status = 429 }),
		Entry("another request's answer", "an answer is whole and its own", check(), func(e *exchange) { e.reply.Body = check().Expected("00000000000000bb") }),
		Entry("a missing event", "an answer is whole and its own", appraise(), func(e *exchange) {
			e.reply.Body = strings.Replace(e.reply.Body, standin.Event(e.reply.Attempt, 3), "", 1)
		}),
		Entry("a repeated event", "an answer is whole and its own", appraise(), func(e *exchange) {
			three := standin.Event(e.reply.Attempt, 3)
			e.reply.Body = strings.Replace(e.reply.Body, three, three+three, 1)
		}),
		Entry("a short answer that looks complete", "an answer is whole and its own", check(), func(e *exchange) { e.reply.Body = e.reply.Body[:9] }),
		Entry("a gap before the interruption", "what came of a broken answer is its own", appraise(), func(e *exchange) {
			e.reply.Complete, e.reply.Body = false, strings.TrimPrefix(e.reply.Body, standin.Event(e.reply.Attempt, 1))
		}),
		Entry("no signature", "a success bears its server's signature", check(), func(e *exchange) { e.reply.Header.Del("Gentianflow-Server-Seal") }),
		Entry("an interruption by a shutdown", "planned work cuts nothing off", confirm(), func(e *exchange) {
			e.planned, e.reply = true, standin.Reply{Attempt: e.reply.Attempt, Err: errors.New("EOF")}
		}),
		Entry("a key at a server", "keys are not passed on", check(), func(e *exchange) { e.runs[0].Key = "Bearer k" }),
		Entry("another path", "servers get what the caller sent", check(), func(e *exchange) { e.runs[0].Target = "/elsewhere" }),
		Entry("another body", "servers get what the caller sent", confirm(), func(e *exchange) { e.runs[0].Body = "" }),
	)
})
