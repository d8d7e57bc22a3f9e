package callerapi

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/member"
)

// LookupHost is an entry host that a caller may use.
type LookupHost struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	Address          string `json:"address"`
	// Ticket is the incarnation of the host, which identifies its running
	// process. A caller generates request ids that contain it and sends each
	// request to this host first.
	Ticket string `json:"ticket"`
}

// LookupReply lists the entry hosts for a service, best first.
type LookupReply struct {
	Service string       `json:"service"`
	TTLMS   int64        `json:"ttl_ms"`
	Hosts   []LookupHost `json:"hosts"`
}

type lookupRequest struct {
	doc     *config.Document
	service string
	zone    string
}

func (a *API) decodeLookup(_ context.Context, r *http.Request) (any, error) {
	service := r.URL.Query().Get("service")
	doc, _, _, err := a.authorizeCaller(r, service)
	if err != nil {
		return nil, err
	}
	return &lookupRequest{doc: doc, service: service, zone: r.URL.Query().Get("availability_zone")}, nil
}

// lookup returns the entry hosts for a service, at most HostsPerService: those
// in the caller's availability zone first, each group in random order so that
// callers spread over the hosts. It omits all hosts that are not alive, for
// example leaving ones.
func (a *API) lookup() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		req := request.(*lookupRequest)
		ranked := member.Rank(req.service, a.deps.Members.All(), req.doc.Rules.Lookup.HostsPerService)
		var near, far []member.Member
		for _, m := range ranked {
			switch {
			case m.State != member.Alive:
			case m.Zone == req.zone:
				near = append(near, m)
			default:
				far = append(far, m)
			}
		}
		if len(near)+len(far) == 0 {
			return nil, failure.Retry(failure.NoHome, time.Second, "no entry host takes requests")
		}
		shuffle(near)
		shuffle(far)
		reply := &LookupReply{Service: req.service, TTLMS: req.doc.Rules.Lookup.TTL.Std().Milliseconds()}
		for _, m := range append(near, far...) {
			reply.Hosts = append(reply.Hosts, LookupHost{
				Host: m.Host, AvailabilityZone: m.Zone, Address: m.CallerAddress, Ticket: m.Incarnation.String(),
			})
		}
		return reply, nil
	}
}

func shuffle(list []member.Member) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
