// Package settings holds the daemon's settings and checks them at start. All
// faults are reported in one message.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Daemon is what one gentiand process is told by flags and environment.
type Daemon struct {
	Host             string        // name of this entry host
	AvailabilityZone string        // where it stands
	Fleet            string        // hosts of other fleets are not talked to
	CallerAddress    string        // HTTP towards callers, IP:port
	ControlAddress   string        // TCP and UDP towards other hosts, IP:port
	AdminAddress     string        // HTTP towards operators, IP:port
	AdvertiseControl string        // control address told to other hosts; empty: ControlAddress
	Platform         string        // base URL of the platform's services
	PlatformTimeout  time.Duration // for one call to the platform
	Seeds            []string      // control addresses of other hosts
	TimelineSize     int           // events kept
	DrainLimit       time.Duration // longest wait for requests in progress; 0: none
	LogFormat        string        // logfmt or json
	AdminToken       string        // operators' bearer token; empty: none asked
}

// The log formats.
const (
	LogFmt  = "logfmt"
	LogJSON = "json"
)

// faults collects what is wrong.
type faults []string

func (f *faults) add(flag, value, allowed string) {
	*f = append(*f, fmt.Sprintf("--%s: value %q; allowed: %s", flag, value, allowed))
}

func (f *faults) address(flag, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		f.add(flag, value, "an IP number and a port, such as 127.0.0.1:7100")
	}
}

func (f *faults) name(flag, value string) {
	if value == "" || strings.ContainsAny(value, " \t\n\x00") {
		f.add(flag, value, "a name without blanks")
	}
}

// Check reports every fault at once.
func (d *Daemon) Check() error {
	var f faults
	f.name("host", d.Host)
	f.name("availability-zone", d.AvailabilityZone)
	f.name("fleet", d.Fleet)
	f.address("caller-address", d.CallerAddress)
	f.address("control-address", d.ControlAddress)
	f.address("admin-address", d.AdminAddress)
	if d.AdvertiseControl != "" {
		f.address("advertise-control", d.AdvertiseControl)
	}
	for _, s := range d.Seeds {
		f.address("seed", s)
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
	if d.LogFormat != LogFmt && d.LogFormat != LogJSON {
		f.add("log-format", d.LogFormat, "logfmt, json")
	}
	if len(f) == 0 {
		return nil
	}
	return failure.New(failure.BadSetting, "%d fault(s) in the settings:\n  %s", len(f), strings.Join(f, "\n  "))
}
