package sched

// closedServers is a heap of servers by opensAt. It implements heap.Interface.
type closedServers []*server

func (c closedServers) Len() int           { return len(c) }
func (c closedServers) Less(i, j int) bool { return c[i].entry.opensAt < c[j].entry.opensAt }

func (c closedServers) Swap(i, j int) {
	c[i], c[j] = c[j], c[i]
	c[i].entry.closedPos, c[j].entry.closedPos = i, j
}

// Push implements heap.Interface.
func (c *closedServers) Push(x any) {
	srv := x.(*server)
	srv.entry.closedPos = len(*c)
	*c = append(*c, srv)
}

// Pop implements heap.Interface.
func (c *closedServers) Pop() any {
	last := len(*c) - 1
	srv := (*c)[last]
	(*c)[last] = nil
	*c = (*c)[:last]
	srv.entry.closedPos = -1
	return srv
}
