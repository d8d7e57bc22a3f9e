package dispatch

import "github.com/gentianflow/gentianflow/internal/wire"

// charge records the quota units of a placement that the local loop made, so that the home
// can charge them to the account. sign is 1, or -1 to cancel the charge of a request that did
// not run. The caller holds mu.
func (c *Client) charge(request *PlacementRequest, sign int) {
	if !c.fullQuotas && request.Account != "" && request.Units > 0 {
		c.charges[request.Account] += sign * request.Units
	}
}

// setFullQuotas records whether this host enforces each quota in full. If it does, it has
// no charges to report to another host.
func (c *Client) setFullQuotas(fullQuotas bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fullQuotas = fullQuotas
	if fullQuotas {
		clear(c.charges)
	}
}

// sendCharges reports the recorded charges over l, if l is the link to the followed home.
func (c *Client) sendCharges(l *homeLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != l {
		return
	}
	m := &wire.ToHome{}
	for account, units := range c.charges {
		if units != 0 {
			m.Charges = append(m.Charges, &wire.Charge{Account: account, Units: int64(units)})
		}
	}
	if len(m.Charges) > 0 && l.push(m) {
		clear(c.charges)
	}
}
