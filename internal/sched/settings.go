package sched

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Setting is one parameter of a Policy that operators may set by name.
type Setting struct {
	Name          string
	Unit          string
	Min           float64
	Max           float64
	DisabledValue string // value that disables the mechanism, empty if none does
	Description   string
	get           func(p *Policy) float64
	assign        func(p *Policy, v float64)
}

// Value returns the setting's value in p, in the setting's unit.
func (s *Setting) Value(p Policy) float64 { return s.get(&p) }

const (
	unitShare    = "part"
	unitFactor   = "times"
	unitMillis   = "ms"
	unitRequests = "requests"
	unitSwitch   = "0 or 1"
)

func number(name, unit string, minimum, maximum float64, off, description string, field func(p *Policy) *float64) Setting {
	return Setting{
		Name: name, Unit: unit, Min: minimum, Max: maximum, DisabledValue: off, Description: description,
		get:    func(p *Policy) float64 { return *field(p) },
		assign: func(p *Policy, v float64) { *field(p) = v },
	}
}

func duration(name string, maximum time.Duration, off, description string, field func(p *Policy) *time.Duration) Setting {
	return Setting{
		Name: name, Unit: unitMillis, Max: float64(maximum.Milliseconds()), DisabledValue: off, Description: description,
		get:    func(p *Policy) float64 { return float64(*field(p)) / float64(time.Millisecond) },
		assign: func(p *Policy, v float64) { *field(p) = time.Duration(v * float64(time.Millisecond)) },
	}
}

func count(name, off, description string, field func(p *Policy) *int) Setting {
	return Setting{
		Name: name, Unit: unitRequests, Max: 1e6, DisabledValue: off, Description: description,
		get:    func(p *Policy) float64 { return float64(*field(p)) },
		assign: func(p *Policy, v float64) { *field(p) = int(v) },
	}
}

func onOff(name, description string, field func(p *Policy) *bool) Setting {
	return Setting{
		Name: name, Unit: unitSwitch, Max: 1, DisabledValue: "0", Description: description,
		get: func(p *Policy) float64 {
			if *field(p) {
				return 1
			}
			return 0
		},
		assign: func(p *Policy, v float64) { *field(p) = v != 0 },
	}
}

// Settings lists the parameters of a policy. The fields of Policy explain the defaults.
func Settings() []Setting {
	return []Setting{
		number("cap", unitFactor, 0.1, 4, "", "maximum number of requests at a server, as a multiple of its slots", func(p *Policy) *float64 { return &p.ConcurrencyFactor }),
		number("wait-share", unitShare, 0, 1, "0", "share of the time until its deadline that a request may wait", func(p *Policy) *float64 { return &p.MaxWaitShare }),
		number("quota-wait-share", unitShare, 0, 1, "0", "share of the time until its deadline that a request may wait for its account's quota", func(p *Policy) *float64 { return &p.MaxQuotaWaitShare }),
		duration("retry-after", time.Minute, "0", "minimum time after which a refused caller should retry", func(p *Policy) *time.Duration { return &p.RetryAfter }),
		number("return-share", unitShare, 0, 1, "0", "share of the time left until the deadline after which a refused caller should retry", func(p *Policy) *float64 { return &p.RetryAfterShare }),
		number("retry-ratio", unitShare, 0, 1, "0", "retries as a share of a service's requests", func(p *Policy) *float64 { return &p.RetryRatio }),
		number("retry-burst", unitRequests, 0, 1e4, "0", "retries beyond that share", func(p *Policy) *float64 { return &p.RetryBurst }),
		duration("failure-penalty", time.Minute, "0", "cost of a server whose latest answers all failed", func(p *Policy) *time.Duration { return &p.FailurePenalty }),
		number("length-weight", unitFactor, 0, 100, "0", "queue delay of a long answer, as a multiple of its expected duration", func(p *Policy) *float64 { return &p.LengthDelayWeight }),
		number("length-most", unitShare, 0, 1, "0", "upper bound of that delay, as a share of the time that the request may wait", func(p *Policy) *float64 { return &p.MaxLengthDelayShare }),
		number("miss-weight", unitFactor, 0, 1e3, "0", "cost of prefilling prompt tokens that may be cached at another server", func(p *Policy) *float64 { return &p.CacheMissWeight }),
		number("total-weight", unitFactor, 0, 100, "0", "weight of a request's predicted end against its first event", func(p *Policy) *float64 { return &p.TotalWeight }),
		count("chooses-from", "0", "waiting requests that a server with room chooses from by its cached prompt parts", func(p *Policy) *int { return &p.CacheChoiceWindow }),
		count("hopeless-from", "1000000", "minimum queue length for early rejection of requests that would hardly be served", func(p *Policy) *int { return &p.EarlyRejectionMinQueue }),
		onOff("late-behind", "late requests wait behind those that can still be on time", func(p *Policy) *bool { return &p.DemoteLate }),
		onOff("await-on-time", "a request waits for a server at which it can be on time", func(p *Policy) *bool { return &p.WaitForLatencyTarget }),
		onOff("spare-pauses", "a request waits rather than stall the streams at the same server for too long", func(p *Policy) *bool { return &p.LimitStreamPauses }),
		duration("connect-cost", time.Minute, "0", "cost of a new connection between a holder and a server", func(p *Policy) *time.Duration { return &p.ConnectCost }),
		number("floor-share", unitShare, 0, 0.5, "0", "minimum share of server time for a less urgent priority queue with waiting requests", func(p *Policy) *float64 { return &p.MinPriorityShare }),
		onOff("ends-in-time", "a contended placement is not given to a request that would end after its deadline", func(p *Policy) *bool { return &p.RequireDeadline }),
		number("size-floor", unitShare, 0, 1, "0", "minimum placement rate of requests with much work, as a share of the rate of their priority queue", func(p *Policy) *float64 { return &p.MinSizeClassShare }),
		onOff("handovers", "servers of plain services get extra placements to cover the time of handovers", func(p *Policy) *bool { return &p.Handovers }),
		duration("time-out", time.Minute, "0", "length of the first ejection of a server that does not answer", func(p *Policy) *time.Duration { return &p.EjectionTime }),
		onOff("pause-model", "pauses of streams beside a prompt are predicted from those that holders observe", func(p *Policy) *bool { return &p.LearnPauses }),
		onOff("prefill-steady", "the learned time to prefill a prompt changes by a limited rate, however many answers arrive", func(p *Policy) *bool { return &p.SteadyPrefillRatio }),
		onOff("account-shares", "the accounts of a priority share the servers' time fairly while requests wait", func(p *Policy) *bool { return &p.AccountShares }),
		onOff("share-weights", "the shares of accounts are weighted by their quotas", func(p *Policy) *bool { return &p.QuotaWeights }),
		onOff("live-load", "placements follow the load that servers report", func(p *Policy) *bool { return &p.LiveLoad }),
		onOff("admission-forecast", "requests for which no room in time is foreseen are refused at once", func(p *Policy) *bool { return &p.ForecastAdmission }),
		onOff("return-booking", "refused callers are told moments at which room is foreseen", func(p *Policy) *bool { return &p.BookReturns }),
	}
}

// Set changes parameters of p, given as name=value pairs separated by commas. It fails with
// BadSetting and an error that lists every invalid pair.
func (p *Policy) Set(text string) error {
	known := map[string]Setting{}
	for _, s := range Settings() {
		known[s.Name] = s
	}
	var problems []string
	for _, assignment := range strings.Split(text, ",") {
		if strings.TrimSpace(assignment) == "" {
			continue
		}
		name, value, _ := strings.Cut(assignment, "=")
		s, ok := known[strings.TrimSpace(name)]
		if !ok {
			problems = append(problems, fmt.Sprintf("unknown policy setting %q", name))
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(v >= s.Min && v <= s.Max) {
			problems = append(problems, fmt.Sprintf("%s=%s; allowed: %g to %g (%s)", s.Name, value, s.Min, s.Max, s.Unit))
			continue
		}
		s.assign(p, v)
	}
	if len(problems) > 0 {
		return failure.New(failure.BadSetting, "policy: %s", strings.Join(problems, "; "))
	}
	return nil
}
