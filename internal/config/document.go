// Package config defines the operators' configuration document: the inventory
// (places, services, backend servers, client accounts) and the rules (tiers,
// request kinds). Document is its main type; Decode reads it strictly and checks
// every cross-reference, Diff lists the differences between two documents.
package config

import (
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// ServiceKind selects the protocol of a service's backend servers.
type ServiceKind string

// The kinds of services. Model engines stream tokens and can resume a stream;
// plain services answer calls.
const (
	ModelService ServiceKind = "model"
	PlainService ServiceKind = "plain"
)

// ServerState is the state of a backend server that operators ask for.
type ServerState string

// The states. A leaving server receives no new requests and completes those
// that are running.
const (
	ServerInService ServerState = "in_service"
	ServerLeaving   ServerState = "leaving"
)

// Duration is a time.Duration written as "300ms" or "5s".
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil {
		return failure.New(failure.BadConfig, "line %d: %q is not a duration such as 300ms or 5s", n.Line, n.Value)
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML implements yaml.Marshaler.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Std converts d to a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Document is a complete configuration.
type Document struct {
	Places         Places          `yaml:"places" validate:"required"`
	Services       []Service       `yaml:"services" validate:"required,min=1,dive"`
	ClientAccounts []ClientAccount `yaml:"client_accounts" validate:"required,min=1,dive"`
	Rules          Rules           `yaml:"rules" validate:"required"`
}

// Places lists the locations of entry hosts and backend servers.
type Places struct {
	Region            string   `yaml:"region" validate:"required"`
	AvailabilityZones []string `yaml:"availability_zones" validate:"required,min=1,unique,dive,required"`
}

// Service is one model or plain application with its backend servers.
type Service struct {
	Name           string          `yaml:"name" validate:"required"`
	Kind           ServiceKind     `yaml:"kind" validate:"required,oneof=model plain"`
	BackendServers []BackendServer `yaml:"backend_servers" validate:"required,min=1,dive"`
}

// BackendServer is one engine or application process.
type BackendServer struct {
	Name             string      `yaml:"name" validate:"required"`
	Address          string      `yaml:"address" validate:"required,hostname_port"`
	AvailabilityZone string      `yaml:"availability_zone" validate:"required"`
	Speed            float64     `yaml:"speed,omitempty" validate:"gte=0"`         // initial estimate, relative to the slowest server generation; 0 means 1
	MaxSequences     int         `yaml:"max_sequences,omitempty" validate:"gte=0"` // maximum number of concurrent requests; 0 means 32
	CacheTokens      int         `yaml:"cache_tokens,omitempty" validate:"gte=0"`  // prefix cache size; 0 means 60,000
	ChecksFencing    bool        `yaml:"checks_fencing,omitempty"`                 // the server refuses orders with an old fencing number
	Wants            string      `yaml:"wants,omitempty"`                          // state to order from the server: models, adapters, versions, role; empty: no orders
	State            ServerState `yaml:"state,omitempty" validate:"omitempty,oneof=in_service leaving"`
}

// ClientAccount is one customer. The document holds only a hash of the secret.
type ClientAccount struct {
	Name         string   `yaml:"name" validate:"required"`
	SecretSHA256 string   `yaml:"secret_sha256" validate:"required,len=64,hexadecimal"`
	Share        float64  `yaml:"share,omitempty" validate:"gte=0"` // weight within a tier; 0 means 1
	Services     []string `yaml:"services" validate:"required,min=1,unique"`
}

// Rules are the operators' policy for the inventory.
type Rules struct {
	Tiers        []Tier        `yaml:"tiers" validate:"required,min=1,dive"`
	RequestKinds []RequestKind `yaml:"request_kinds" validate:"required,min=1,dive"`
	Lookup       LookupRules   `yaml:"lookup,omitempty"`
	Limits       Limits        `yaml:"limits,omitempty"`
}

// Tier is a priority level of requests: number 1 is served first and shed last.
type Tier struct {
	Number   int      `yaml:"number" validate:"gte=1,lte=9"`
	Name     string   `yaml:"name" validate:"required"`
	Deadline Duration `yaml:"deadline" validate:"gt=0"` // for the complete answer, unless the request kind sets its own
}

// RequestKind is a class of calls to a service.
type RequestKind struct {
	Name          string   `yaml:"name" validate:"required"`
	Service       string   `yaml:"service" validate:"required"`
	Tier          int      `yaml:"tier" validate:"required"`
	Deadline      Duration `yaml:"deadline,omitempty" validate:"gte=0"`
	NonIdempotent bool     `yaml:"non_idempotent,omitempty"`
}

// LookupRules control the answers of the address lookup, by which callers find
// the entry hosts of a service.
type LookupRules struct {
	TTL             Duration `yaml:"ttl,omitempty" validate:"gte=0"`               // how long callers cache an answer; 0 means 5s
	HostsPerService int      `yaml:"hosts_per_service,omitempty" validate:"gte=0"` // maximum number of entry hosts in an answer; 0 means 9
}

// Limits bound the resources of a host that one caller or one service may use.
type Limits struct {
	BodyBytes    int      `yaml:"body_bytes,omitempty" validate:"gte=0"`    // 0 means 4 MiB
	Waiting      int      `yaml:"waiting,omitempty" validate:"gte=0"`       // queue length of a service; 0 means 10,000
	HeldBytes    int      `yaml:"held_bytes,omitempty" validate:"gte=0"`    // total of bodies and answers on one host; 0 means 256 MiB
	Horizon      Duration `yaml:"horizon,omitempty" validate:"gte=0"`       // how long request ids are retained; 0 means 120s
	ReadTimeout  Duration `yaml:"read_timeout,omitempty" validate:"gte=0"`  // for a complete request body; 0 means 10s
	ClaimHorizon Duration `yaml:"claim_horizon,omitempty" validate:"gte=0"` // how long claim rows are retained; 0 means 24h
}

// The defaults of values that are zero in the document.
const (
	DefaultSpeed           = 1.0
	DefaultMaxSequences    = 32
	DefaultCacheTokens     = 60000
	DefaultShare           = 1.0
	DefaultTTL             = 5 * time.Second
	DefaultHostsPerService = 9
	DefaultBodyBytes       = 4 << 20
	DefaultWaiting         = 10000
	DefaultHeldBytes       = 256 << 20
	DefaultHorizon         = 120 * time.Second
	DefaultReadTimeout     = 10 * time.Second
	DefaultClaimHorizon    = 24 * time.Hour
)

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// fillDefaults replaces zero values by their defaults.
func (d *Document) fillDefaults() {
	for i := range d.Services {
		for j := range d.Services[i].BackendServers {
			b := &d.Services[i].BackendServers[j]
			b.Speed = orDefault(b.Speed, DefaultSpeed)
			b.MaxSequences = orDefault(b.MaxSequences, DefaultMaxSequences)
			b.CacheTokens = orDefault(b.CacheTokens, DefaultCacheTokens)
			b.State = orDefault(b.State, ServerInService)
		}
	}
	for i := range d.ClientAccounts {
		d.ClientAccounts[i].Share = orDefault(d.ClientAccounts[i].Share, DefaultShare)
	}
	d.Rules.fillDefaults()
}

func (r *Rules) fillDefaults() {
	r.Lookup.TTL = orDefault(r.Lookup.TTL, Duration(DefaultTTL))
	r.Lookup.HostsPerService = orDefault(r.Lookup.HostsPerService, DefaultHostsPerService)
	r.Limits.BodyBytes = orDefault(r.Limits.BodyBytes, DefaultBodyBytes)
	r.Limits.Waiting = orDefault(r.Limits.Waiting, DefaultWaiting)
	r.Limits.HeldBytes = orDefault(r.Limits.HeldBytes, DefaultHeldBytes)
	r.Limits.Horizon = orDefault(r.Limits.Horizon, Duration(DefaultHorizon))
	r.Limits.ReadTimeout = orDefault(r.Limits.ReadTimeout, Duration(DefaultReadTimeout))
	r.Limits.ClaimHorizon = orDefault(r.Limits.ClaimHorizon, Duration(DefaultClaimHorizon))
	deadlines := map[int]Duration{}
	for _, t := range r.Tiers {
		deadlines[t.Number] = t.Deadline
	}
	for i := range r.RequestKinds {
		k := &r.RequestKinds[i]
		k.Deadline = orDefault(k.Deadline, deadlines[k.Tier])
	}
}

// Service returns the service with the given name.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}

// Account returns the client account with the given name.
func (d *Document) Account(name string) (*ClientAccount, bool) {
	for i := range d.ClientAccounts {
		if d.ClientAccounts[i].Name == name {
			return &d.ClientAccounts[i], true
		}
	}
	return nil, false
}

// Kind returns the request kind of a service with the given name.
func (d *Document) Kind(service, name string) (*RequestKind, bool) {
	for i := range d.Rules.RequestKinds {
		k := &d.Rules.RequestKinds[i]
		if k.Service == service && k.Name == name {
			return k, true
		}
	}
	return nil, false
}

// DefaultKind returns the kind of requests that name none: the least urgent
// kind of the service. If any kind of the service is non-idempotent, so is the
// default, since a non-idempotent call whose kind was omitted must not run
// twice.
func (d *Document) DefaultKind(service string) (RequestKind, bool) {
	var out RequestKind
	nonIdempotent := false
	for _, k := range d.Rules.RequestKinds {
		if k.Service != service {
			continue
		}
		nonIdempotent = nonIdempotent || k.NonIdempotent
		if k.Tier >= out.Tier {
			out = k
		}
	}
	out.NonIdempotent = nonIdempotent
	return out, out.Name != ""
}
