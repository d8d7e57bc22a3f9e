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
		Name: "explain", Usage: "tell from the hosts' logs why a request ended as it did", ArgsUsage: "REQUEST|SERVER [FILE...]",
		Description: "Reads the logs of all hosts from the files, or from standard input. Prints the\n" +
			"request's own lines, what its host and servers went through within 3 s of it,\n" +
			"and the usual cause of such an end. With --server: what ran on a server as it ended.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the story as JSON"},
			&cli.BoolFlag{Name: "server", Usage: "the name is a server's"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return failure.New(failure.BadRequest, "name the request: gentianctl explain REQUEST FILE...")
			}
			lines, err := readLogs(c.Args().Tail())
			if err != nil {
				return err
			}
			if c.Bool("server") {
				return printServerEnd(explain.ServerEnd(lines, c.Args().First()))
			}
			story, err := explain.Find(lines, c.Args().First())
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return json.NewEncoder(os.Stdout).Encode(story)
			}
			printStory(story)
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
			return nil, failure.Wrap(failure.BadRequest, err, "open a log")
		}
		lines, err := explain.Read(io.Reader(f))
		_ = f.Close() // only read
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func printStory(s explain.RequestHistory) {
	fmt.Println("the request:")
	printLines(s.Request)
	if len(s.Ends) > 0 {
		fmt.Println("servers that ended under the same request:")
		printLines(s.Ends)
	}
	fmt.Println("its host and servers meanwhile:")
	printLines(s.Host)
	if cause := s.Cause(); cause != "" {
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
		return failure.New(failure.UnknownRequest, "no line tells that this server ended while it had requests")
	}
	fmt.Println("what the server ran as it ended:")
	for _, l := range lines {
		fmt.Printf("  %s %s %s %s\n", l.At.Format("15:04:05.000"), l.Host, l.Request, l.Detail)
	}
	return nil
}
