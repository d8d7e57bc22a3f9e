package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/lab"
	"github.com/gentianflow/gentianflow/platform/standin"
)

const (
	lookupEvery = time.Second
	readyWait   = 10 * time.Second
)

// loader sends the load. mu guards addresses and report.
type loader struct {
	hosts     []string // look-up addresses
	caller    *standin.Caller
	load      lab.Load
	mu        sync.Mutex
	addresses []string
	report    *lab.Result
}

func sendLoad(ctx context.Context, cmd *cli.Command) error {
	load, err := lab.ReadLoad(cmd.String("load"))
	if err != nil {
		return err
	}
	if rate := cmd.Float("rate"); rate > 0 {
		load.Rate = rate
	}
	if length := cmd.Duration("for"); length > 0 {
		load.Length = length
	}
	seed := cmd.Uint64("seed")
	l := &loader{caller: standin.NewCaller(), load: load, report: lab.NewResult(cmd.String("label"), seed, load)}
	if err := l.readHosts(cmd.String("dir")); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyWait+load.Length)
	defer cancel()
	for len(l.current()) < len(l.hosts) && ctx.Err() == nil {
		l.lookup()
		time.Sleep(100 * time.Millisecond)
	}
	l.run(ctx, load.Draw(seed))
	return l.conclude(cmd.String("report"))
}

// conclude prints what came of the load; an answer that is whole but not the
// server's is an error.
func (l *loader) conclude(path string) error {
	l.report.Print(os.Stdout)
	var err error
	if path != "" {
		err = l.report.Write(path)
	}
	wrong := 0
	for _, t := range l.report.Kinds {
		wrong += t.Ends[lab.Wrong]
	}
	if wrong > 0 {
		err = errors.Join(err, failure.New(failure.ServerError, "%d answers were whole but wrong", wrong))
	}
	return err
}

// compareReports prints two reports beside each other, and plots them.
func compareReports(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return failure.New(failure.BadRequest, "compare needs two reports, as `gentianlab load --report` writes them")
	}
	var reports []*lab.Result
	for _, path := range cmd.Args().Slice() {
		r, err := lab.ReadResult(path)
		if err != nil {
			return err
		}
		reports = append(reports, r)
	}
	if err := lab.Compare(os.Stdout, reports[0], reports[1]); err != nil {
		return err
	}
	if path := cmd.String("plot"); path != "" {
		return lab.Plot(path, reports...)
	}
	return nil
}

// readHosts finds the look-up addresses in the settings files.
func (l *loader) readHosts(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.conf"))
	if err != nil {
		return err
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(text)) {
			if at, ok := strings.CutPrefix(strings.TrimSpace(line), "listen.directory="); ok {
				l.hosts = append(l.hosts, at)
			}
		}
	}
	if len(l.hosts) == 0 {
		return fmt.Errorf("no settings files in %s; start `gentianlab platform` first", dir)
	}
	return nil
}

func (l *loader) current() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses
}

// lookup asks up to three hosts which addresses to use.
func (l *loader) lookup() {
	client := http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(l.hosts))[:min(3, len(l.hosts))] {
		resp, err := client.Get("http://" + l.hosts[i] + "/resolve?name=" + standin.Host)
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&body)
		_ = resp.Body.Close() // read, or of no use
		if err == nil && len(body.Addresses) > 0 {
			l.mu.Lock()
			l.addresses = body.Addresses
			l.mu.Unlock()
			return
		}
	}
}

// run sends each request at its time, looking up hosts as callers do.
func (l *loader) run(ctx context.Context, requests []lab.Request) {
	var calls sync.WaitGroup
	start := time.Now()
	looked := start
	for _, q := range requests {
		select {
		case <-time.After(time.Until(start.Add(q.At))):
		case <-ctx.Done():
			calls.Wait()
			return
		}
		if time.Since(looked) > lookupEvery {
			looked = time.Now()
			calls.Go(l.lookup)
		}
		calls.Go(func() { l.one(ctx, q) })
	}
	calls.Wait()
}

func (l *loader) one(ctx context.Context, q lab.Request) {
	k := l.load.Kinds[q.Kind]
	c := standin.Call{
		Path: k.Path, Body: k.Body, Key: standin.DefaultAccountKey, Prompt: q.Prompt, Output: q.Output, Deadline: k.Deadline,
	}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline)
	defer cancel()
	addresses := l.current()
	if len(addresses) == 0 {
		return
	}
	r := l.caller.Send(ctx, addresses[rand.IntN(len(addresses))], c)
	end, latency := judge(k, c, r)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Add(q, end, latency)
}

// judge tells how a request ended for its caller.
func judge(k lab.Kind, c standin.Call, r standin.Reply) (lab.End, time.Duration) {
	latency := r.Duration
	if c.Prompt > 0 {
		latency = r.FirstByte
	}
	switch {
	case r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests:
		return lab.Refused, latency
	case r.Status != http.StatusOK || !r.Complete:
		return lab.Failed, latency
	case r.Body != c.Expected(r.Attempt):
		return lab.Wrong, latency
	case latency > k.Aim:
		return lab.Late, latency
	}
	return lab.InTime, latency
}
