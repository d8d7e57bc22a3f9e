package explain

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the table of outcomes", func() {
	line := func(name, server, detail string) string {
		return `level=info ts=2026-05-22T04:43:42.0Z host=h name=` + name + ` request=r server=` + server + ` detail="` + detail + `"`
	}
	text := strings.Join([]string{
		line("request_answered", "a", "200 events=9 route=chat aim=500ms waited=10ms first=60ms after=1s pause=65ms most=500ms"),
		line("request_answered", "a", "200 events=9 route=chat aim=500ms waited=10ms first=600ms after=2s pause=65ms most=500ms"),
		line("request_answered", "b", "200 events=9 route=chat aim=500ms waited=450ms first=60ms after=1s pause=65ms most=500ms"),
		line("request_answered", "b", "200 events=9 route=chat aim=500ms waited=10ms first=60ms after=3s pause=700ms most=500ms"),
		line("request_refused", "", "503 overload: no server had room in time (9 waiting, 2 servers usable) route=chat aim=500ms"),
		line("request_refused", "", "503 no_path: the service has no usable server (9 waiting, 0 servers usable) route=chat aim=500ms"),
		line("request_refused", "", "503 no_server: the service has no usable server (9 waiting, 0 servers usable) route=chat aim=500ms"),
		line("request_refused", "", "429 overload: the account is over its quota (9 waiting, 2 servers usable) route=chat"),
		line("request_refused", "b", "502 server_lost: its server gave no answer; it may have run route=book aim=150ms"),
		line("request_cut", "b", "no place to resume the stream route=chat aim=500ms"),
		line("request_left", "", "while it waited route=chat aim=500ms"),
		line("server_lost", "b", "route=chat"),
	}, "\n")

	It("counts by route and by server what made requests late or fail", func() {
		lines, err := Read(strings.NewReader(text))
		Expect(err).NotTo(HaveOccurred())
		rows := TallyBy(lines, ByRoute)
		Expect(rows).To(HaveLen(2))
		Expect(rows[0]).To(Equal(Tally{Of: "chat", Total: 10, Ends: map[Outcome]int{
			InTime: 1, LateFirst: 1, LateWait: 1, LatePause: 1, NoRoom: 1, NoPath: 1, NoServer: 1, OverQuota: 1, LostAtServer: 1, CallerLeft: 1,
		}}))
		Expect(rows[1].Ends).To(Equal(map[Outcome]int{LostAtServer: 1}))
		servers := TallyBy(lines, ByServer)
		Expect(servers[0].Of).To(Equal("b"))
		Expect(servers[0].Ends[LatePause]).To(Equal(1))
	})

	It("keeps only lines of a time span", func() {
		lines, err := Read(strings.NewReader(text))
		Expect(err).NotTo(HaveOccurred())
		at := lines[0].At
		Expect(Between(lines, at.Add(time.Second), time.Time{})).To(BeEmpty())
		Expect(Between(lines, at, at)).To(HaveLen(len(lines)))
	})
})
