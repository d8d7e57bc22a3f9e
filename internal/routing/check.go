package routing

import (
	"fmt"
	"strings"
)

// Check returns the errors in a configuration, one line each with the item and what is
// allowed; none if it is valid. It is for operators before they write a configuration;
// hosts use any configuration that the store accepted.
func (c *Config) Check() (faults []string) {
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	services := map[string]bool{}
	for _, s := range c.Services {
		if services[s.Name] {
			fault("service %q stands twice", s.Name)
		}
		services[s.Name] = true
	}
	prefixes := map[string]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, text := range r.check(services) {
			fault("route %q: %s", r.Name, text)
		}
		hostAndPrefix := strings.ToLower(r.Host) + r.Prefix
		if first, taken := prefixes[hostAndPrefix]; taken {
			fault("route %q has the host and prefix of route %q", r.Name, first)
		}
		prefixes[hostAndPrefix] = r.Name
	}
	keys := map[string]string{}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		if a.Rate < 0 || a.Burst < 0 {
			fault("account %q: rate and burst are 0 (no limit) or more", a.Name)
		}
		for _, key := range a.Keys {
			if owner, taken := keys[key]; taken {
				fault("account %q has a key of account %q", a.Name, owner)
			}
			keys[key] = a.Name
		}
	}
	return faults
}

func (r *Route) check(services map[string]bool) (faults []string) {
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if r.Host == "" {
		fault("it needs a host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		fault("prefix %q must begin and end with a slash", r.Prefix)
	}
	if r.LatencyTarget > 0 && r.Timeout > 0 && r.LatencyTarget > r.Timeout {
		fault("its latency objective %s is longer than its timeout %s", r.LatencyTarget, r.Timeout)
	}
	total := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			fault("there is no service %q", t.Service)
		}
		if t.Weight < 0 {
			fault("the weight of %q is negative", t.Service)
		}
		total += t.Weight
	}
	if total <= 0 {
		fault("it needs a service with a weight above 0")
	}
	return faults
}
