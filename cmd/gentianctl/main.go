// Command gentianctl is the command-line tool for operators.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// The exit codes, documented in docs/OPERATIONS.md.
const (
	exitFailure  = 1 // the call failed, or a check found violations
	exitBadInput = 2 // the command line or the document is wrong
	exitConflict = 3 // another operator's change came first
	exitInDoubt  = 4 // the outcome is unknown; repeat with the same change id
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gentianctl:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	switch failure.From(err).Code {
	case failure.BadConfig, failure.BadRequest, failure.BadSetting:
		return exitBadInput
	case failure.Conflict:
		return exitConflict
	case failure.StoreDown:
		return exitInDoubt
	}
	return exitFailure
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "gentianctl",
		Usage: "operate a gentianflow fleet",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "admin", Value: []string{"127.0.0.1:7102"}, Usage: "admin address of an entry host, through which the others are discovered", Sources: cli.EnvVars("GENTIAN_ADMIN")},
			&cli.StringFlag{Name: "admin-token", Usage: "operators' bearer token", Sources: cli.EnvVars("GENTIAN_ADMIN_TOKEN")},
		},
		Commands: []*cli.Command{configCommand(), statusCommand(), membersCommand(), drainCommand(), timelineCommand(), checkCommand(), replayCommand(), explainCommand(), lossesCommand(), platformCommand()},
	}
}
