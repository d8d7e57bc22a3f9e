package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/admin"
	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/configsync"
	"github.com/gentianflow/gentianflow/internal/failure"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check, show, compare and change the configuration",
		Commands: []*cli.Command{
			{Name: "check", Usage: "validate a configuration document without contacting a fleet", ArgsUsage: "FILE", Action: configCheck},
			{Name: "show", Usage: "print the configuration in force", Action: configShow},
			{Name: "diff", Usage: "print the changes that FILE would make", ArgsUsage: "FILE", Action: configDiff},
			{
				Name: "apply", Usage: "make FILE the newest version and wait until it is in force on all hosts", ArgsUsage: "FILE", Action: configApply,
				Flags: []cli.Flag{
					&cli.Int64Flag{Name: "base", Value: -1, Usage: "version that FILE is based on; -1 means the version in force"},
					&cli.StringFlag{Name: "change-id", Usage: "unique id of the change; if the outcome is in doubt, the same id may be sent again"},
					&cli.StringFlag{Name: "author", Usage: "author name shown to other operators", Sources: cli.EnvVars("USER")},
					&cli.DurationFlag{Name: "wait", Value: 6 * time.Second, Usage: "how long to wait until the version is in force on all hosts"},
				},
			},
			{Name: "history", Usage: "list the newest accepted changes", Action: configHistory},
		},
	}
}

func readDocument(c *cli.Command) ([]byte, *config.Document, error) {
	if c.Args().Len() != 1 {
		return nil, nil, failure.New(failure.BadRequest, "exactly one FILE argument is required")
	}
	text, err := os.ReadFile(c.Args().First())
	if err != nil {
		return nil, nil, failure.Wrap(failure.BadRequest, err, "read document")
	}
	doc, err := config.Decode(text)
	return text, doc, err
}

func configCheck(_ context.Context, c *cli.Command) error {
	_, doc, err := readDocument(c)
	if err != nil {
		return err
	}
	servers := 0
	for _, s := range doc.Services {
		servers += len(s.BackendServers)
	}
	fmt.Printf("ok: %d services, %d backend servers, %d client accounts, %d tiers\n",
		len(doc.Services), servers, len(doc.ClientAccounts), len(doc.Rules.Tiers))
	return nil
}

func currentConfig(ctx context.Context, client *adminClient) (admin.ConfigReply, error) {
	var reply admin.ConfigReply
	err := client.get(ctx, "/v1/config", &reply)
	return reply, err
}

func configShow(ctx context.Context, c *cli.Command) error {
	reply, err := currentConfig(ctx, newAdminClient(c))
	if err != nil {
		return err
	}
	fmt.Printf("# version %d change %s\n%s", reply.Version, reply.ChangeID, reply.Text)
	return nil
}

func configDiff(ctx context.Context, c *cli.Command) error {
	_, wanted, err := readDocument(c)
	if err != nil {
		return err
	}
	reply, err := currentConfig(ctx, newAdminClient(c))
	if err != nil {
		return err
	}
	var inForce *config.Document
	if reply.Version > 0 {
		if inForce, err = config.Decode(reply.Text); err != nil {
			return err
		}
	}
	changes, err := config.Diff(inForce, wanted)
	if err != nil {
		return err
	}
	for _, ch := range changes {
		fmt.Println(ch)
	}
	return nil
}

func configApply(ctx context.Context, c *cli.Command) error {
	text, _, err := readDocument(c)
	if err != nil {
		return err
	}
	client := newAdminClient(c)
	proposal := configsync.Proposal{ChangeID: c.String("change-id"), Author: c.String("author"), Text: text}
	if proposal.ChangeID == "" {
		proposal.ChangeID = ulid.Make().String()
	}
	proposal.Base = uint64(max(0, c.Int64("base")))
	if c.Int64("base") < 0 {
		reply, err := currentConfig(ctx, client)
		if err != nil {
			return err
		}
		proposal.Base = reply.Version
	}
	var accepted configsync.Change
	if err := client.post(ctx, "/v1/config", proposal, &accepted); err != nil {
		if failure.Is(err, failure.StoreDown) {
			fmt.Printf("in doubt: apply again with --base %d --change-id %s\n", proposal.Base, proposal.ChangeID)
		}
		return err
	}
	fmt.Printf("accepted: version %d change %s\n", accepted.Version, accepted.ChangeID)
	return waitInForce(ctx, client, accepted.Version, c.Duration("wait"))
}

const inForcePollInterval = 100 * time.Millisecond

// waitInForce polls the members until the version is in force on all of them.
func waitInForce(ctx context.Context, client *adminClient, version uint64, limit time.Duration) error {
	begin := time.Now()
	for {
		missing, have, err := hostsByVersion(ctx, client, version)
		if err != nil {
			return err
		}
		if len(missing) == 0 {
			fmt.Printf("in force on %d hosts after %.1fs: %v\n", len(have), time.Since(begin).Seconds(), have)
			return nil
		}
		if time.Since(begin) > limit {
			return failure.New(failure.PeerSilent, "version %d is in force on %v, not seen on %v after %s", version, have, missing, limit)
		}
		time.Sleep(inForcePollInterval)
	}
}

// hostsByVersion returns in have the hosts on which the version, or a newer one, is
// in force, and in missing those that have an older one or do not answer.
func hostsByVersion(ctx context.Context, client *adminClient, version uint64) (missing, have []string, err error) {
	members, err := client.members(ctx)
	if err != nil {
		return nil, nil, err
	}
	for _, m := range members {
		var s admin.Status
		if client.getFrom(ctx, m.AdminAddress, "/v1/status", &s) == nil && s.Version >= version {
			have = append(have, m.Host)
			continue
		}
		missing = append(missing, m.Host)
	}
	return missing, have, nil
}

func configHistory(ctx context.Context, c *cli.Command) error {
	var reply admin.HistoryReply
	if err := newAdminClient(c).get(ctx, "/v1/config/history", &reply); err != nil {
		return err
	}
	for _, ch := range reply.Changes {
		fmt.Printf("%6d  %s  %-16s %s\n", ch.Version, ch.At.Format(time.RFC3339), ch.Author, ch.ChangeID)
	}
	return nil
}
