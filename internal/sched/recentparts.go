package sched

const (
	// maxCachingServers bounds the servers remembered for a prompt part; the newest remain.
	maxCachingServers = 4
	// cachedPartsPerServer sets how many prompt parts an index remembers.
	cachedPartsPerServer = 4
)

// recentParts remembers which servers prefilled a prompt part last. It holds up to twice limit parts,
// in two generations of which the older one is dropped as a whole.
type recentParts struct {
	limit    int
	new, old map[uint64]cachingServers
}

type cachingServers [maxCachingServers]*server

// use records that srv prefills the parts of a prompt.
func (p *recentParts) use(parts []Part, srv *server) {
	for _, part := range parts {
		servers := p.get(part.Key)
		at := len(servers) - 1
		for i, have := range servers {
			if have == srv || have == nil {
				at = i
				break
			}
		}
		copy(servers[1:at+1], servers[:at])
		servers[0] = srv
		if p.new == nil || len(p.new) >= p.limit {
			p.old, p.new = p.new, map[uint64]cachingServers{}
		}
		p.new[part.Key] = servers
	}
}

func (p *recentParts) get(key uint64) cachingServers {
	if servers, ok := p.new[key]; ok {
		return servers
	}
	return p.old[key]
}

// servers lists the servers that prefilled a part last, the newest first.
func (p *recentParts) servers(key uint64) []*server {
	servers := p.get(key)
	n := 0
	for n < len(servers) && servers[n] != nil {
		n++
	}
	return servers[:n]
}
