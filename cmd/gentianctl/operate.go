package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/admin"
	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/member"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show every host, its configuration version and the homes it runs", Action: status,
		Flags: []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print the full status of each host as JSON"}},
	}
}

func status(ctx context.Context, c *cli.Command) error {
	client := newAdminClient(c)
	members, err := client.members(ctx)
	if err != nil {
		return err
	}
	for _, m := range members {
		var s admin.Status
		if err := client.getFrom(ctx, m.AdminAddress, "/v1/status", &s); err != nil {
			fmt.Printf("%-16s %-16s does not answer: %v\n", m.Host, m.State, err)
			continue
		}
		if c.Bool("json") {
			if err := json.NewEncoder(os.Stdout).Encode(s); err != nil {
				return failure.Wrap(failure.Internal, err, "print")
			}
			continue
		}
		printStatus(m, s)
	}
	return nil
}

func printStatus(m member.Member, s admin.Status) {
	fmt.Printf("%-16s %-10s %-16s config %d  in progress %d  held %d bytes\n",
		m.Host, m.State, m.Zone, s.Version, s.Held.InProgress, s.Held.HeldBytes)
	for _, h := range s.Homes {
		fmt.Printf("    home of %s: %d holders, %d running, waiting by tier:", h.Service, h.Holders, h.Running)
		for _, t := range h.Tiers {
			fmt.Printf(" %d:%d", t.Tier, t.Waiting)
		}
		fmt.Println()
	}
}

func membersCommand() *cli.Command {
	return &cli.Command{Name: "members", Usage: "list the members as one host sees them", Action: func(ctx context.Context, c *cli.Command) error {
		var reply admin.MembersReply
		if err := newAdminClient(c).get(ctx, "/v1/members", &reply); err != nil {
			return err
		}
		for _, m := range reply.Members {
			fmt.Printf("%-16s %-10s %-16s %s callers %s admin %s config %d\n",
				m.Host, m.State, m.Zone, m.Incarnation, m.CallerAddress, m.AdminAddress, m.ConfigVersion)
		}
		return nil
	}}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "drain an entry host: it finishes its running requests and exits", ArgsUsage: "HOST",
		Action: func(ctx context.Context, c *cli.Command) error {
			client := newAdminClient(c)
			members, err := client.members(ctx)
			if err != nil {
				return err
			}
			for _, m := range members {
				if m.Host != c.Args().First() {
					continue
				}
				target := *client
				target.addresses = []string{m.AdminAddress}
				var reply admin.DrainReply
				if err := target.post(ctx, "/v1/drain", struct{}{}, &reply); err != nil {
					return err
				}
				fmt.Printf("%s drains\n", m.Host)
				return nil
			}
			return failure.New(failure.BadRequest, "no member is named %q", c.Args().First())
		},
	}
}

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "print the events of all hosts, merged in causal order", Action: timeline,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "only events of this request id"},
			&cli.StringFlag{Name: "service", Usage: "only events of this service's cell"},
			&cli.StringFlag{Name: "server", Usage: "only events of this backend server"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object per line"},
		},
	}
}

func timeline(ctx context.Context, c *cli.Command) error {
	client := newAdminClient(c)
	members, err := client.members(ctx)
	if err != nil {
		return err
	}
	path := fmt.Sprintf("/v1/timeline?request=%s&service=%s&server=%s", c.String("request"), c.String("service"), c.String("server"))
	var timelines [][]event.Event
	for _, m := range members {
		var reply admin.TimelineReply
		if err := client.getFrom(ctx, m.AdminAddress, path, &reply); err != nil {
			fmt.Fprintf(os.Stderr, "%s does not answer: %v\n", m.Host, err)
			continue
		}
		timelines = append(timelines, reply.Events)
	}
	for _, e := range event.Merge(timelines...) {
		if c.Bool("json") {
			if err := json.NewEncoder(os.Stdout).Encode(e); err != nil {
				return failure.Wrap(failure.Internal, err, "print")
			}
			continue
		}
		printEvent(e)
	}
	return nil
}

func printEvent(e event.Event) {
	fmt.Printf("%8d %s %-12s %d %-20s", e.Lamport, e.At.Format(time.StampMicro), e.Host, e.Code, e.Name)
	for _, f := range []struct{ key, value string }{
		{"request", e.Request}, {"service", e.Service}, {"server", e.Server}, {"peer", e.Peer}, {"detail", e.Detail},
	} {
		if f.value != "" {
			fmt.Printf(" %s=%s", f.key, f.value)
		}
	}
	fmt.Println()
}
