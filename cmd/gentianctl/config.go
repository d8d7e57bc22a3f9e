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
			{Name: "check", Usage: "check a document without a fleet", ArgsUsage: "FILE", Action: configCheck},
			{Name: "show", Usage: "print the document in force", Action: configShow},
			{Name: "diff", Usage: "print what FILE would change", ArgsUsage: "FILE", Action: configDiff},
			{
				Name: "apply", Usage: "make FILE the newest version and wait until it is in force", ArgsUsage: "FILE", Action: configApply,
				Flags: []cli.Flag{
					&cli.Int64Flag{Name: "base", Value: -1, Usage: "version that FILE was made from; -1 takes the one in force now"},
					&cli.StringFlag{Name: "change-id", Usage: "unique id of the change; the same id may be sent again when the outcome is in doubt"},
					&cli.StringFlag{Name: "author", Usage: "name shown to other operators", Sources: cli.EnvVars("USER")},
					&cli.DurationFlag{Name: "wait", Value: 6 * time.Second, Usage: "how long to wait for all hosts"},
				},
			},
			{Name: "history", Usage: "list the newest accepted changes", Action: configHistory},
		},
	}
}

func readDocument(c *cli.Command) ([]byte, *config.Document, error) {
	if c.Args().Len() != 1 {
		return nil, nil, failure.New(failure.BadRequest, "give one FILE")
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

func current(ctx context.Context, a *adminClient) (admin.ConfigReply, error) {
	var reply admin.ConfigReply
	err := a.get(ctx, "/v1/config", &reply)
	return reply, err
}

func configShow(ctx context.Context, c *cli.Command) error {
	reply, err := current(ctx, newAdminClient(c))
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
	reply, err := current(ctx, newAdminClient(c))
	if err != nil {
		return err
	}
	var now *config.Document
	if reply.Version > 0 {
		if now, err = config.Decode(reply.Text); err != nil {
			return err
		}
	}
	changes, err := config.Diff(now, wanted)
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
	a := newAdminClient(c)
	p := configsync.Proposal{ChangeID: c.String("change-id"), Author: c.String("author"), Text: text}
	if p.ChangeID == "" {
		p.ChangeID = ulid.Make().String()
	}
	p.Base = uint64(max(0, c.Int64("base")))
	if c.Int64("base") < 0 {
		reply, err := current(ctx, a)
		if err != nil {
			return err
		}
		p.Base = reply.Version
	}
	var accepted configsync.Change
	if err := a.post(ctx, "/v1/config", p, &accepted); err != nil {
		if failure.Is(err, failure.StoreDown) {
			fmt.Printf("in doubt: apply again with --base %d --change-id %s\n", p.Base, p.ChangeID)
		}
		return err
	}
	fmt.Printf("accepted: version %d change %s\n", accepted.Version, accepted.ChangeID)
	return waitInForce(ctx, a, accepted.Version, c.Duration("wait"))
}

const inForcePoll = 100 * time.Millisecond

// waitInForce polls every member until all have the version.
func waitInForce(ctx context.Context, a *adminClient, version uint64, limit time.Duration) error {
	begin := time.Now()
	for {
		missing, have, err := inForce(ctx, a, version)
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
		time.Sleep(inForcePoll)
	}
}

func inForce(ctx context.Context, a *adminClient, version uint64) (missing, have []string, err error) {
	members, err := a.members(ctx)
	if err != nil {
		return nil, nil, err
	}
	for _, m := range members {
		var s admin.Status
		if a.getFrom(ctx, m.AdminAddress, "/v1/status", &s) == nil && s.Version >= version {
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
