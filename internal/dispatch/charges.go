package dispatch

import "github.com/gentianflow/gentianflow/internal/wire"

// charge counts a place of this host's own loop, or one that was not used with times -1.
// The caller holds mu.
func (c *Client) charge(ask *Ask, times int) {
	if !c.whole && ask.Account != "" && ask.Units > 0 {
		c.charges[ask.Account] += times * ask.Units
	}
}

// setWhole notes whether this host gives out the whole of each quota, and so owes nothing to
// another one.
func (c *Client) setWhole(whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.whole = whole
	if whole {
		clear(c.charges)
	}
}

// tellCharges tells the home that is followed what this host gave out by itself.
func (c *Client) tellCharges(l *homeLink) {
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
