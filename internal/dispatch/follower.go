package dispatch

import (
	"context"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// Follower keeps the client at the right home: the one that the member list
// names while it answers, this host's own loop otherwise.
type Follower struct {
	client   *Client
	members  *member.Table
	sessions Sessions
	events   *event.Recorder
	// listed is how many hosts others or the store tell of, 0 when it is not known.
	listed func() int
	// leads tells the home's side of this host that it schedules for all, followers counts
	// the hosts that follow it.
	leads     func(bool)
	followers func() int
	started   time.Time
	distrust  distrust
	hosts     int // that the share of a host alone was worked out for, 0: not known then
	// leadsSince is when this host began to lead, zero: it does not; partial is set while
	// it does so with a part of the quotas.
	leadsSince time.Time
	partial    bool
	// setShare is told which part of all servers and quotas the loop of this
	// host has: all as the home, less when it decides for itself.
	setShare func(sched.Share)
}

// NewFollower makes the duty; Run starts it.
func NewFollower(c *Client, m *member.Table, s Sessions, h *Home, events *event.Recorder, listed func() int, setShare func(sched.Share)) *Follower {
	return &Follower{
		client: c, members: m, sessions: s, events: events,
		listed: listed, leads: h.Lead, followers: h.Followers, setShare: setShare, started: time.Now(),
	}
}

// Run follows homes until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	changed := f.members.Subscribe()
	var link *homeLink
	var home member.Member
	period := startPeriod
	timer := time.NewTicker(period)
	defer timer.Stop()
	for {
		if p := f.period(); p != period {
			period = p
			timer.Reset(period)
		}
		want, ok := f.want(time.Now())
		switch {
		case ok && want.Incarnation == f.client.self:
			f.drop(link)
			link, home = nil, want
			f.lead(want.Incarnation != f.first())
		case link != nil && (!ok || want.Incarnation != home.Incarnation || link.broken()):
			f.drop(link)
			link = nil
			f.alone()
		}
		if link == nil && ok && want.Incarnation != f.client.self {
			f.alone()
			link = f.dial(ctx, want)
			home = want
			if link == nil && ctx.Err() == nil && time.Since(f.started) > lonelyTime {
				f.distrust.add(time.Now(), want.Incarnation)
			}
		}
		if link != nil {
			f.keepShare()
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-ended(link):
		case <-ctx.Done():
			f.drop(link)
			return
		}
	}
}

// period is how often Run looks at the ranking and the share: more often while both may
// change at any moment.
func (f *Follower) period() time.Duration {
	if time.Since(f.started) < lonelyTime || f.partial || f.distrust.any(time.Now()) {
		return startPeriod
	}
	return redialPeriod
}
