package sched

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SetShare changes the share of servers, quotas and retry budgets that this scheduler may
// use.
func (s *Scheduler) SetShare(now Time, share Share) {
	factor := share.Quotas / s.share.Quotas
	rescale := func(b *bucket) {
		if share.BurstsSpent {
			b.rescaleSpent(now, factor, !s.share.BurstsSpent)
		} else {
			b.rescale(now, factor)
		}
	}
	for _, b := range s.accounts {
		rescale(b)
	}
	for _, svc := range s.services {
		rescale(&svc.retryBudget)
	}
	if s.share.Servers < 1 && share.Servers >= 1 {
		s.loads.fullShareAt = now
	}
	s.share = share
	for _, srv := range s.servers {
		s.applyNotice(now, srv)
	}
	for _, svc := range s.services {
		s.spreadRounding(svc)
		svc.index.outdated = true
	}
	s.suspects.SetPartial(share.Servers < 1)
	s.SetAccounts(now, s.quotas)
}

// SetServices applies the configured services. Requests that wait for a removed service are
// refused at the next Tick.
func (s *Scheduler) SetServices(now Time, services []Service) {
	for _, spec := range services {
		svc := s.services[spec.Name]
		if svc == nil {
			burst := s.policy.RetryBurst * s.share.Quotas
			svc = &service{retryBudget: bucket{burst: burst, level: burst, at: now}, prefillRatio: initialPrefillRatio, versions: s.versionsOf(spec.Name), index: newServerIndex()}
			if s.share.BurstsSpent {
				svc.retryBudget.spend()
			}
			s.services[spec.Name] = svc
		}
		svc.Service = spec
	}
	for name, svc := range s.services {
		known := slices.ContainsFunc(services, func(spec Service) bool { return spec.Name == name })
		if !known && svc.queue.size == 0 {
			delete(s.services, name)
		}
	}
	s.groupServers()
}

// SetAccounts applies the configured quotas.
func (s *Scheduler) SetAccounts(now Time, accounts []Account) {
	s.quotas = accounts
	buckets := map[string]*bucket{}
	for _, a := range accounts {
		if a.Rate <= 0 {
			continue
		}
		rate, burst := a.Rate*s.share.Quotas, math.Max(1, a.Burst*s.share.Quotas)
		b := s.accounts[a.Name]
		if b == nil {
			b = newBucket(now, rate, burst, s.hasFullQuotas())
			if s.share.BurstsSpent {
				b.spend()
			}
		} else {
			b.resize(now, rate, burst)
		}
		buckets[a.Name] = b
	}
	s.accounts = buckets
	s.setShareWeights(accounts)
}

// SetServers applies a new list of backend servers. The state of servers that stay listed is
// preserved; runs at removed servers end by themselves.
func (s *Scheduler) SetServers(now Time, list []Server) {
	listed := map[string]bool{}
	for _, spec := range list {
		listed[spec.ID] = true
	}
	var removed []string
	for id := range s.servers {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	s.UpdateServers(now, list, removed)
}

// UpdateServers applies changes of the list of backend servers: servers that are new or whose entry
// has changed, and the IDs of those that are no longer listed. A server that is in both is listed.
func (s *Scheduler) UpdateServers(now Time, changed []Server, removed []string) {
	listed := map[string]bool{}
	for _, spec := range changed {
		listed[spec.ID] = true
		s.setServer(now, spec)
	}
	for _, id := range removed {
		if srv := s.servers[id]; srv != nil && !listed[id] {
			s.removeServer(now, srv)
		}
	}
	s.forgetNotices(now)
	for service, servers := range s.listed {
		s.versionsOf(service).history.update(now, servers)
	}
	s.groupServers()
}

// setServer lists a server, or applies a changed entry of it.
func (s *Scheduler) setServer(now Time, spec Server) {
	known := s.servers[spec.ID]
	if known != nil {
		known.leaving = known.leaving || spec.Draining
		spec.Draining = spec.Draining || known.Draining && spec.Address == known.Address
		if known.Service != spec.Service {
			s.unlist(known)
			defer s.list(known)
		}
		known.Server = spec
		return
	}
	svc := s.services[spec.Service]
	if svc == nil {
		svc = &service{Service: Service{Name: spec.Service}, versions: s.versionsOf(spec.Service), index: newServerIndex()}
	}
	srv := newServer(now, spec, svc, s.policy.EjectionTime)
	srv.hashFraction = hashFraction(s.owner, spec.ID)
	srv.roundingFraction = srv.hashFraction
	s.servers[spec.ID] = srv
	s.list(srv)
	s.applyNotice(now, srv)
}

// removeServer drops a server that is no longer listed.
func (s *Scheduler) removeServer(now Time, srv *server) {
	s.recordEnd(now, srv)
	s.recordIdleEnd(now, srv)
	srv.leaving = true // some unlisted servers run on for a while, then cut off long runs
	srv.serving = nil
	s.unlist(srv)
	delete(s.servers, srv.ID)
}

// list adds a server to those of its service, which are ordered by ID.
func (s *Scheduler) list(srv *server) {
	listed := s.listed[srv.Service]
	i, _ := slices.BinarySearchFunc(listed, srv.ID, compareID)
	s.listed[srv.Service] = slices.Insert(listed, i, srv)
}

func (s *Scheduler) unlist(srv *server) {
	listed := s.listed[srv.Service]
	if i, found := slices.BinarySearchFunc(listed, srv.ID, compareID); found {
		s.listed[srv.Service] = slices.Delete(listed, i, i+1)
	}
}

func compareID(srv *server, id string) int { return cmp.Compare(srv.ID, id) }

// SetOwner sets the incarnation of the host that runs this scheduler. It must be called before
// SetServers.
func (s *Scheduler) SetOwner(incarnation uint64) { s.owner = incarnation }

// hashFraction returns a number from 0 to 1 that depends on the host and the server.
func hashFraction(owner uint64, server string) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(server) // never fails
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, owner))
	return float64(d.Sum64()>>11) / (1 << 53)
}

// groupServers assigns the listed servers to their services and splits them by version.
func (s *Scheduler) groupServers() {
	for name, svc := range s.services {
		all := s.listed[name]
		for _, srv := range all {
			srv.cache.capacity = svc.KVTokens
			srv.serving = nil
		}
		svc.servers, svc.onTrial = svc.versions.partition(all)
		for _, srv := range svc.servers {
			srv.serving = svc
		}
		svc.typical = 0
		s.spreadRounding(svc)
		svc.index.outdated = true
	}
}

// spreadRounding spaces the rounding fractions of a service's servers evenly for a host that schedules
// alone, in the order of their hash fractions.
//
// With the hash fractions themselves, the slots that a host gets by rounding vary: of 72 hosts that share 72
// slots of 12 servers, a third have none and refuse all of their requests.
func (s *Scheduler) spreadRounding(svc *service) {
	if s.share.Servers >= 1 {
		return
	}
	servers := slices.DeleteFunc(slices.Clone(svc.servers), func(srv *server) bool { return srv.Draining })
	slices.SortFunc(servers, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.hashFraction, b.hashFraction), cmp.Compare(a.ID, b.ID))
	})
	offset := hashFraction(s.owner, svc.Name)
	for i, srv := range servers {
		srv.roundingFraction = (float64(i) + offset) / float64(len(servers))
	}
}
