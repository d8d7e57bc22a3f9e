package sched

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Setting is one figure of a Policy that operators may set by name.
type Setting struct {
	Name   string
	Unit   string
	Least  float64
	Most   float64
	Off    string // the value that switches the mechanism off, empty when none does
	Does   string
	get    func(p *Policy) float64
	assign func(p *Policy, v float64)
}

// Value is what p has, in the setting's unit.
func (s *Setting) Value(p Policy) float64 { return s.get(&p) }

const (
	unitPart     = "part"
	unitTimes    = "times"
	unitMillis   = "ms"
	unitRequests = "requests"
	unitSwitch   = "0 or 1"
)

func number(name, unit string, least, most float64, off, does string, at func(p *Policy) *float64) Setting {
	return Setting{
		Name: name, Unit: unit, Least: least, Most: most, Off: off, Does: does,
		get:    func(p *Policy) float64 { return *at(p) },
		assign: func(p *Policy, v float64) { *at(p) = v },
	}
}

func duration(name string, most time.Duration, off, does string, at func(p *Policy) *time.Duration) Setting {
	return Setting{
		Name: name, Unit: unitMillis, Most: float64(most.Milliseconds()), Off: off, Does: does,
		get:    func(p *Policy) float64 { return float64(*at(p)) / float64(time.Millisecond) },
		assign: func(p *Policy, v float64) { *at(p) = time.Duration(v * float64(time.Millisecond)) },
	}
}

func count(name, off, does string, at func(p *Policy) *int) Setting {
	return Setting{
		Name: name, Unit: unitRequests, Most: 1e6, Off: off, Does: does,
		get:    func(p *Policy) float64 { return float64(*at(p)) },
		assign: func(p *Policy, v float64) { *at(p) = int(v) },
	}
}

func onOff(name, does string, at func(p *Policy) *bool) Setting {
	return Setting{
		Name: name, Unit: unitSwitch, Most: 1, Off: "0", Does: does,
		get: func(p *Policy) float64 {
			if *at(p) {
				return 1
			}
			return 0
		},
		assign: func(p *Policy, v float64) { *at(p) = v != 0 },
	}
}

// Settings lists the figures of a policy; the grounds of the defaults stand at the
// fields of Policy.
func Settings() []Setting {
	return []Setting{
		number("cap", unitTimes, 0.1, 4, "", "requests in a server at most, in times of its slots", func(p *Policy) *float64 { return &p.Cap }),
		number("wait-share", unitPart, 0, 1, "0", "part of its time that a request may wait", func(p *Policy) *float64 { return &p.WaitShare }),
		number("quota-wait-share", unitPart, 0, 1, "0", "part of its time that a request may wait for its account's quota", func(p *Policy) *float64 { return &p.QuotaWaitShare }),
		duration("retry-after", time.Minute, "0", "least time after which a refused caller comes back", func(p *Policy) *time.Duration { return &p.RetryAfter }),
		number("return-share", unitPart, 0, 1, "0", "part of its time left after which a refused caller comes back", func(p *Policy) *float64 { return &p.ReturnShare }),
		number("retry-ratio", unitPart, 0, 1, "0", "repeats as a part of a service's requests", func(p *Policy) *float64 { return &p.RetryRatio }),
		number("retry-burst", unitRequests, 0, 1e4, "0", "repeats beyond that part", func(p *Policy) *float64 { return &p.RetryBurst }),
		duration("failure-penalty", time.Minute, "0", "what a server costs whose newest answers all failed", func(p *Policy) *time.Duration { return &p.FailurePenalty }),
		number("length-weight", unitTimes, 0, 100, "0", "how far a long answer stands back, in times of what it takes", func(p *Policy) *float64 { return &p.LengthWeight }),
		number("length-most", unitPart, 0, 1, "0", "how far at most, as a part of the wait that it may have", func(p *Policy) *float64 { return &p.LengthMost }),
		number("miss-weight", unitTimes, 0, 1e3, "0", "price of reading a part again that is kept elsewhere", func(p *Policy) *float64 { return &p.MissWeight }),
		number("total-weight", unitTimes, 0, 100, "0", "price of a request's predicted end against its first event", func(p *Policy) *float64 { return &p.TotalWeight }),
		count("chooses-from", "0", "waiting requests that a server with room chooses from by what it keeps", func(p *Policy) *int { return &p.ChoosesFrom }),
		count("hopeless-from", "1000000", "requests that wait before one without hope is refused as it comes", func(p *Policy) *int { return &p.HopelessFrom }),
		onOff("late-behind", "late requests wait behind those that can be on time", func(p *Policy) *bool { return &p.LateBehind }),
		onOff("await-on-time", "a request waits for a server at which it can be on time", func(p *Policy) *bool { return &p.AwaitOnTime }),
		onOff("spare-pauses", "a request waits rather than stop the streams beside it for too long", func(p *Policy) *bool { return &p.SparePauses }),
		duration("connect-cost", time.Minute, "0", "price of a new connection between a holder and a server", func(p *Policy) *time.Duration { return &p.ConnectCost }),
		number("floor-share", unitPart, 0, 0.5, "0", "part of the servers' time that a less urgent lane gets while some wait there", func(p *Policy) *float64 { return &p.FloorShare }),
		onOff("ends-in-time", "a place that others wait for is kept from one that would end too late", func(p *Policy) *bool { return &p.EndsInTime }),
		number("size-floor", unitPart, 0, 1, "0", "how often those that bring much work are placed at least, as a part of how often their lane is", func(p *Policy) *float64 { return &p.SizeFloor }),
		onOff("handovers", "plain services get places for calls on their way", func(p *Policy) *bool { return &p.Handovers }),
		duration("time-out", time.Minute, "0", "how long a server that does not answer is left alone at first", func(p *Policy) *time.Duration { return &p.TimeOut }),
	}
}

// Set changes figures of p: name=value, separated by commas. It fails with
// BadSetting and names every fault.
func (p *Policy) Set(text string) error {
	known := map[string]Setting{}
	for _, s := range Settings() {
		known[s.Name] = s
	}
	var faults []string
	for _, one := range strings.Split(text, ",") {
		if strings.TrimSpace(one) == "" {
			continue
		}
		name, value, _ := strings.Cut(one, "=")
		s, ok := known[strings.TrimSpace(name)]
		if !ok {
			faults = append(faults, fmt.Sprintf("no figure is named %q", name))
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(v >= s.Least && v <= s.Most) {
			faults = append(faults, fmt.Sprintf("%s=%s; allowed: %g to %g (%s)", s.Name, value, s.Least, s.Most, s.Unit))
			continue
		}
		s.assign(p, v)
	}
	if len(faults) > 0 {
		return failure.New(failure.BadSetting, "policy: %s", strings.Join(faults, "; "))
	}
	return nil
}
