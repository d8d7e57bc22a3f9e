package dispatch

import (
	"context"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/sched"
)

// Follower connects the client to the home, the first host of the ranking of members, while
// the home answers, and to the local loop otherwise. It also sets the local loop's share of
// servers and quotas.
type Follower struct {
	client   *Client
	members  *member.Table
	sessions Sessions
	events   *event.Recorder
	// listedHosts returns the number of hosts that other hosts or the store report, 0 if
	// unknown.
	listedHosts func() int
	// fleet tells what this host knows of the fleet since its start.
	fleet func() member.Fleet
	// informed reports whether this host knows the configuration and the servers; nil: it always does.
	informed func() bool
	// setLeading sets whether this host leads, which means that it schedules for all hosts;
	// followers counts the hosts that are linked to it.
	setLeading      func(bool)
	followers       func() int
	started         time.Time
	lostHomes       lostHomes
	standaloneHosts int // number of hosts for which the standalone share was computed, 0: not known then
	// leadsSince is when this host began to lead, zero: it does not lead. partialQuotas is
	// set while it leads with less than the full quotas.
	leadsSince    time.Time
	partialQuotas bool
	homes         homeChanges
	burstsSpent   bool // the bursts may have been given out when this host began to lead
	// setShare sets the local loop's share of all servers, quotas and rate limits: all of
	// them on the home, less on a host that schedules only for itself.
	setShare func(sched.Share)
}

// NewFollower creates a Follower; Run starts it.
func NewFollower(c *Client, m *member.Table, s Sessions, h *Home, events *event.Recorder, listedHosts func() int, fleet func() member.Fleet, setShare func(sched.Share)) *Follower {
	return &Follower{
		client: c, members: m, sessions: s, events: events,
		listedHosts: listedHosts, fleet: fleet, setLeading: h.Lead, followers: h.Followers, setShare: setShare, started: time.Now(),
	}
}

// LeadOnceInformed makes this host schedule for others only once informed reports that it knows the configuration
// and the servers. It is called before Run.
func (f *Follower) LeadOnceInformed(informed func() bool) { f.informed = informed }

// Run follows the current home until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	changed := f.members.Subscribe()
	var link *homeLink
	var home member.Member
	period := startupPeriod
	timer := time.NewTicker(period)
	defer timer.Stop()
	for {
		if p := f.period(); p != period {
			period = p
			timer.Reset(period)
		}
		desiredHome, ok := f.desiredHome(time.Now())
		if ok {
			f.homes.note(time.Now(), desiredHome.Incarnation)
		}
		switch {
		case ok && desiredHome.Incarnation == f.client.self:
			f.drop(link)
			link, home = nil, desiredHome
			f.lead(desiredHome.Incarnation != f.rankedHome())
		case link != nil && (!ok || desiredHome.Incarnation != home.Incarnation || link.broken()):
			f.drop(link)
			link = nil
			f.goStandalone()
		}
		if link == nil && ok && desiredHome.Incarnation != f.client.self {
			f.goStandalone()
			link = f.dial(ctx, desiredHome)
			home = desiredHome
			if link == nil && ctx.Err() == nil && time.Since(f.started) > discoveryTimeout {
				f.lostHomes.add(time.Now(), desiredHome.Incarnation)
			}
		}
		if link != nil {
			f.refreshStandaloneShare()
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

// period returns the interval at which Run checks the ranking and the share. It is shorter
// while both are likely to change.
func (f *Follower) period() time.Duration {
	if time.Since(f.started) < discoveryTimeout || !f.fleet().Known() || f.partialQuotas || f.lostHomes.any(time.Now()) {
		return startupPeriod
	}
	return redialPeriod
}
