package daemon

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/configsync"
	"github.com/gentianflow/gentianflow/internal/event"
)

// StartDrain begins a graceful shutdown; Run returns when it has ended.
//
// The order keeps every promise: look-ups stop naming this host at once and
// its cells move with their ledgers; callers that still have the address are
// served for the look-up's TTL; then new requests are refused as not run; the
// process ends when the last request in progress has its final word.
func (d *Daemon) StartDrain() {
	d.drain.Do(func() {
		d.events.Record(event.ProcessDraining, event.Fields{})
		d.members.SetLeaving()
		go d.finishDrain()
	})
}

func (d *Daemon) finishDrain() {
	time.Sleep(d.lookupTTL())
	d.refusing.Store(true)
	limit := time.Now().Add(d.set.DrainLimit)
	for d.busy() && (d.set.DrainLimit == 0 || time.Now().Before(limit)) {
		time.Sleep(drainPoll)
	}
	close(d.drained)
}

// busy reports whether a request here has no final word yet, a caller has not
// read its answer, or a cell has not moved.
func (d *Daemon) busy() bool {
	if d.holder.InProgress() > 0 || d.holder.Readers() > 0 {
		return true
	}
	for _, s := range d.homes.Status() {
		if s.Holders > 0 && len(d.members.All()) > 1 {
			return true
		}
	}
	return false
}

func (d *Daemon) lookupTTL() time.Duration {
	return ttlOf(d.config.Current())
}

func ttlOf(c *configsync.InForce) time.Duration {
	if c == nil {
		return 0
	}
	return c.Document.Rules.Lookup.TTL.Std()
}
