package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/explain"
	"github.com/gentianflow/gentianflow/internal/failure"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "explain from the hosts' logs why a request ended as it did", ArgsUsage: "REQUEST|SERVER [FILE...]",
		Description: "Reads the logs of all hosts from the files, or from standard input. Prints the\n" +
			"request's own lines, the events of its host and servers within 3 s of it, and the\n" +
			"usual cause of such an outcome. With --server: the requests that a server ran as it ended.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"},
			&cli.BoolFlag{Name: "server", Usage: "the argument names a server"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return failure.New(failure.BadRequest, "request id is missing; usage: gentianctl explain REQUEST FILE...")
			}
			lines, err := readLogs(c.Args().Tail())
			if err != nil {
				return err
			}
			if c.Bool("server") {
				return printServerEnd(explain.ServerEnd(lines, c.Args().First()))
			}
			history, err := explain.Find(lines, c.Args().First())
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return json.NewEncoder(os.Stdout).Encode(history)
			}
			printRequestHistory(history)
			return nil
		},
	}
}

func readLogs(files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		return explain.Read(os.Stdin)
	}
	var all []explain.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, failure.Wrap(failure.BadRequest, err, "open a log file")
		}
		lines, err := explain.Read(io.Reader(f))
		_ = f.Close() // opened for reading only
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func printRequestHistory(history explain.RequestHistory) {
	fmt.Println("the request:")
	printLines(history.Request)
	if len(history.Ends) > 0 {
		fmt.Println("servers that ended under it, or under others like it:")
		printLines(history.Ends)
	}
	fmt.Println("its host and servers meanwhile:")
	printLines(history.Host)
	if cause := history.Cause(); cause != "" {
		fmt.Println("cause:", cause)
	}
}

func printLines(lines []explain.Line) {
	for _, l := range lines {
		fmt.Printf("  %s %s %s %s%s %s\n", l.At.Format("15:04:05.000"), l.Host, l.Name, l.Server, l.Peer, l.Detail)
	}
}

func printServerEnd(lines []explain.Line) error {
	if len(lines) == 0 {
		return failure.New(failure.UnknownRequest, "the logs have no requests that this server was running as it ended")
	}
	fmt.Println("what the server ran as it ended:")
	for _, l := range lines {
		fmt.Printf("  %s %s %s %s\n", l.At.Format("15:04:05.000"), l.Host, l.Request, l.Detail)
	}
	return nil
}
