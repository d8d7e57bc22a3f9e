package settings

import (
	"time"

	"github.com/urfave/cli/v3"
)

// The defaults of the settings that have one.
const (
	defaultPlatformTimeout = 2 * time.Second
	defaultTimelineSize    = 20000
	defaultFleet           = "gentianflow"
)

func stringFlag(name, env, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: cli.EnvVars(env)}
}

// Flags returns the daemon's flags with their environment variables.
func Flags() []cli.Flag {
	return []cli.Flag{
		stringFlag("host", "GENTIAN_HOST", "", "name of this entry host"),
		stringFlag("availability-zone", "GENTIAN_AVAILABILITY_ZONE", "", "availability zone in which it stands"),
		stringFlag("fleet", "GENTIAN_FLEET", defaultFleet, "name of the fleet; hosts of other fleets are refused"),
		stringFlag("caller-address", "GENTIAN_CALLER_ADDRESS", "127.0.0.1:7100", "IP:port for callers (HTTP)"),
		stringFlag("control-address", "GENTIAN_CONTROL_ADDRESS", "127.0.0.1:7101", "IP:port for other entry hosts (TCP and UDP)"),
		stringFlag("admin-address", "GENTIAN_ADMIN_ADDRESS", "127.0.0.1:7102", "IP:port for operators (HTTP)"),
		stringFlag("advertise-control", "GENTIAN_ADVERTISE_CONTROL", "", "control address told to other hosts, when it differs from the one listened on"),
		stringFlag("platform", "GENTIAN_PLATFORM", "", "base URL of the platform's services"),
		&cli.DurationFlag{Name: "platform-timeout", Value: defaultPlatformTimeout, Usage: "limit for one call to the platform", Sources: cli.EnvVars("GENTIAN_PLATFORM_TIMEOUT")},
		&cli.StringSliceFlag{Name: "seed", Usage: "control address of another entry host; may be repeated", Sources: cli.EnvVars("GENTIAN_SEEDS")},
		&cli.IntFlag{Name: "timeline-size", Value: defaultTimelineSize, Usage: "events kept for the time line", Sources: cli.EnvVars("GENTIAN_TIMELINE_SIZE")},
		&cli.DurationFlag{Name: "drain-limit", Usage: "longest wait for requests in progress when draining; 0 waits for all", Sources: cli.EnvVars("GENTIAN_DRAIN_LIMIT")},
		stringFlag("log-format", "GENTIAN_LOG_FORMAT", LogFmt, "logfmt or json"),
		&cli.IntFlag{Name: "client-memory-mb", Usage: "MiB for the connections, heads and bodies of all clients; 0: 0.4 of GOMEMLIMIT, or 256 without one", Sources: cli.EnvVars("GENTIAN_CLIENT_MEMORY_MB")},
		stringFlag("admin-token", "GENTIAN_ADMIN_TOKEN", "", "bearer token asked of operators; empty asks for none"),
	}
}

// FromCommand returns the settings from the parsed flags.
func FromCommand(c *cli.Command) Daemon {
	return Daemon{
		Host: c.String("host"), AvailabilityZone: c.String("availability-zone"), Fleet: c.String("fleet"),
		CallerAddress: c.String("caller-address"), ControlAddress: c.String("control-address"), AdminAddress: c.String("admin-address"),
		AdvertiseControl: c.String("advertise-control"),
		Platform:         c.String("platform"), PlatformTimeout: c.Duration("platform-timeout"),
		Seeds: c.StringSlice("seed"), TimelineSize: c.Int("timeline-size"), DrainLimit: c.Duration("drain-limit"),
		ClientMemoryMB: c.Int("client-memory-mb"), LogFormat: c.String("log-format"), AdminToken: c.String("admin-token"),
	}
}
