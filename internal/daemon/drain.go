package daemon

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/member"
)

// StartDrain begins a graceful shutdown; Run returns at its end.
//
// The order preserves the guarantees to callers. Lookups omit this host
// immediately, and its cells move to other hosts with their ledgers (the records
// of request ids). Callers that still have the address are served until the
// lookup TTL has passed. After that, new requests are refused as not run. The
// process ends when the last request in progress has its final result, or at the
// drain limit.
func (d *Daemon) StartDrain() {
	d.drainOnce.Do(func() {
		d.events.Record(event.ProcessDraining, event.Fields{})
		d.members.SetLeaving()
		go d.finishDrain()
	})
}

func (d *Daemon) finishDrain() {
	time.Sleep(d.lookupTTL())
	d.refuseNew.Store(true)
	limit := time.Now().Add(d.set.DrainLimit)
	for d.busy() && (d.set.DrainLimit == 0 || time.Now().Before(limit)) {
		time.Sleep(drainPollInterval)
	}
	close(d.drained)
}

// busy reports whether a request here has no final result yet, a caller has not
// read its answer, or a cell has not moved although another host could take it.
func (d *Daemon) busy() bool {
	if d.holder.InProgress() > 0 || d.holder.Readers() > 0 {
		return true
	}
	members := d.members.All()
	for _, s := range d.homes.Status() {
		if _, other := member.Home(s.Service, members, 1); other && s.Holders > 0 {
			return true
		}
	}
	return false
}

func (d *Daemon) lookupTTL() time.Duration {
	c := d.config.Current()
	if c == nil {
		return 0
	}
	return c.Document.Rules.Lookup.TTL.Std()
}
