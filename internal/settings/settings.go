// Package settings defines the daemon's settings and validates them at startup.
// All faults are reported in one message.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Daemon holds the settings of a gentiand process from flags and environment.
type Daemon struct {
	Host             string        // name of this entry host
	AvailabilityZone string        // availability zone of this entry host
	Fleet            string        // name of the fleet; hosts of other fleets are refused
	CallerAddress    string        // IP:port for callers (HTTP)
	ControlAddress   string        // IP:port for other entry hosts (TCP and UDP)
	AdminAddress     string        // IP:port for operators (HTTP)
	AdvertiseControl string        // control address announced to other hosts; empty: ControlAddress
	Platform         string        // base URL of the platform's services
	PlatformTimeout  time.Duration // timeout of one call to the platform
	Seeds            []string      // control addresses of other hosts
	TimelineSize     int           // number of events in the timeline
	DrainLimit       time.Duration // longest wait for requests in progress when draining; 0: no limit
	LogFormat        string        // logfmt or json
	ClientMemoryMB   int           // MiB for what clients make the host hold; 0: a share of GOMEMLIMIT, 256 without one
	AdminToken       string        // bearer token required of operators; empty: none
}

// The log formats.
const (
	LogFmt  = "logfmt"
	LogJSON = "json"
)

// faults collects the messages about invalid settings.
type faults []string

func (f *faults) add(flag, value, allowed string) {
	*f = append(*f, fmt.Sprintf("--%s: value %q; allowed: %s", flag, value, allowed))
}

func (f *faults) checkAddress(flag, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		f.add(flag, value, "an IP number and a port, such as 127.0.0.1:7100")
	}
}

func (f *faults) checkName(flag, value string) {
	if value == "" || strings.ContainsAny(value, " \t\n\x00") {
		f.add(flag, value, "a name without blanks")
	}
}

// Check validates the settings and reports all faults at once.
func (d *Daemon) Check() error {
	var f faults
	f.checkName("host", d.Host)
	f.checkName("availability-zone", d.AvailabilityZone)
	f.checkName("fleet", d.Fleet)
	f.checkAddress("caller-address", d.CallerAddress)
	f.checkAddress("control-address", d.ControlAddress)
	f.checkAddress("admin-address", d.AdminAddress)
	if d.AdvertiseControl != "" {
		f.checkAddress("advertise-control", d.AdvertiseControl)
	}
	for _, s := range d.Seeds {
		f.checkAddress("seed", s)
	}
	if u, err := url.Parse(d.Platform); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		f.add("platform", d.Platform, "a base URL such as http://127.0.0.1:7000")
	}
	if d.PlatformTimeout <= 0 {
		f.add("platform-timeout", d.PlatformTimeout.String(), "a duration above 0")
	}
	if d.TimelineSize < 1 {
		f.add("timeline-size", fmt.Sprint(d.TimelineSize), "a number from 1")
	}
	if d.DrainLimit < 0 {
		f.add("drain-limit", d.DrainLimit.String(), "0 or a duration")
	}
	if d.ClientMemoryMB < 0 {
		f.add("client-memory-mb", fmt.Sprint(d.ClientMemoryMB), "0 or a number of MiB")
	}
	if d.LogFormat != LogFmt && d.LogFormat != LogJSON {
		f.add("log-format", d.LogFormat, "logfmt, json")
	}
	if len(f) == 0 {
		return nil
	}
	return failure.New(failure.BadSetting, "%d fault(s) in the settings:\n  %s", len(f), strings.Join(f, "\n  "))
}
