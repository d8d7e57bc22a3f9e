package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/sched"
	"github.com/gentianflow/gentianflow/platform"
)

// platformCommand has the commands for gentianhost, the daemon for the prepared
// platform: they check its settings and configuration before it reads them, and
// manage the quarantined requests and rollouts in the platform's store.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform", Usage: "check host files for the prepared platform; manage quarantined requests and roll-outs",
		Commands: []*cli.Command{
			{Name: "settings", Usage: "check settings files, as gentianhost reads them", ArgsUsage: "FILE...", Action: checkEach(checkSettings)},
			{Name: "config", Usage: "check operators' configurations (JSON) before they are written to the store", ArgsUsage: "FILE...", Action: checkEach(checkConfig)},
			{Name: "policy", Usage: "list the scheduler's settings, or check values for some of them", ArgsUsage: "[NAME=VALUE,...]", Action: listPolicy},
			quarantineCommand(),
			rolloutCommand(),
		},
	}
}

// checkEach returns an action that checks all files and fails if any of them is invalid.
func checkEach(check func(path string) (string, error)) cli.ActionFunc {
	return func(_ context.Context, c *cli.Command) error {
		if c.Args().Len() == 0 {
			return failure.New(failure.BadRequest, "at least one FILE argument is required")
		}
		var lastErr error
		for _, path := range c.Args().Slice() {
			summary, err := check(path)
			if err != nil {
				fmt.Fprintf(os.Stderr, "%s: %s\n", path, failure.From(err).Message)
				lastErr = err
				continue
			}
			fmt.Printf("%s: %s\n", path, summary)
		}
		if lastErr != nil {
			return failure.New(failure.From(lastErr).Code, "some files are invalid")
		}
		return nil
	}
}

func checkSettings(path string) (string, error) {
	settings, err := platform.ReadSettingsFile(path)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("host %s in %s, callers at %s, store at %s", settings.Host, settings.AvailabilityZone, settings.EntryAddress, settings.Store), nil
}

func checkConfig(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", failure.Wrap(failure.BadRequest, err, "read the configuration")
	}
	c, err := platform.CheckConfig(text)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("version %d, %d routes, %d services, %d accounts", c.Version, len(c.Routes), len(c.Services), len(c.Accounts)), nil
}

// listPolicy prints the policy settings, with the values that the arguments set.
func listPolicy(_ context.Context, c *cli.Command) error {
	p := sched.DefaultPolicy()
	if err := p.Set(strings.Join(c.Args().Slice(), ",")); err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tVALUE\tUNIT\tFROM\tTO\tOFF\tDOES")
	for _, s := range sched.Settings() {
		fmt.Fprintf(w, "%s\t%g\t%s\t%g\t%g\t%s\t%s\n", s.Name, s.Value(p), s.Unit, s.Min, s.Max, s.DisabledValue, s.Description)
	}
	return w.Flush()
}
