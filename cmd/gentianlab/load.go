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
	lookupInterval = time.Second
	readyTimeout   = 10 * time.Second
)

// loader sends a load to the entry hosts. mu guards addresses and report.
type loader struct {
	lookupAddresses []string // where hosts serve lookups
	caller          *standin.Caller
	load            lab.Load
	mu              sync.Mutex
	addresses       []string
	report          *lab.Result
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
	if err := l.readLookupAddresses(cmd.String("dir")); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout+load.Length)
	defer cancel()
	for len(l.currentAddresses()) < len(l.lookupAddresses) && ctx.Err() == nil {
		l.lookup()
		time.Sleep(100 * time.Millisecond)
	}
	l.run(ctx, load.Draw(seed))
	return l.finish(cmd.String("report"))
}

// finish prints the report and writes it to path unless that is empty. It returns
// an error if any answer was complete but differed from what the server sent.
func (l *loader) finish(path string) error {
	l.report.Print(os.Stdout)
	var err error
	if path != "" {
		err = l.report.Write(path)
	}
	wrong := 0
	for _, kind := range l.report.Kinds {
		wrong += kind.Ends[lab.Wrong]
	}
	if wrong > 0 {
		err = errors.Join(err, failure.New(failure.ServerError, "%d answers were complete but wrong", wrong))
	}
	return err
}

// compareReports prints two reports side by side and plots them if asked to.
func compareReports(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return failure.New(failure.BadRequest, "compare needs two reports written by `gentianlab load --report`")
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

// readLookupAddresses reads the hosts' lookup addresses from the settings files in
// dir.
func (l *loader) readLookupAddresses(dir string) error {
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
			if address, ok := strings.CutPrefix(strings.TrimSpace(line), "listen.directory="); ok {
				l.lookupAddresses = append(l.lookupAddresses, address)
			}
		}
	}
	if len(l.lookupAddresses) == 0 {
		return fmt.Errorf("no settings files in %s; start `gentianlab platform` first", dir)
	}
	return nil
}

func (l *loader) currentAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses
}

// lookup updates the entry addresses from the first of up to three random hosts
// that answers.
func (l *loader) lookup() {
	client := http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(l.lookupAddresses))[:min(3, len(l.lookupAddresses))] {
		resp, err := client.Get("http://" + l.lookupAddresses[i] + "/resolve?name=" + standin.Host)
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&body)
		_ = resp.Body.Close() // the body is decoded or discarded
		if err == nil && len(body.Addresses) > 0 {
			l.mu.Lock()
			l.addresses = body.Addresses
			l.mu.Unlock()
			return
		}
	}
}

// run sends each request at its time and repeats the lookup as callers do.
func (l *loader) run(ctx context.Context, requests []lab.Request) {
	var calls sync.WaitGroup
	start := time.Now()
	lastLookup := start
	for _, request := range requests {
		select {
		case <-time.After(time.Until(start.Add(request.At))):
		case <-ctx.Done():
			calls.Wait()
			return
		}
		if time.Since(lastLookup) > lookupInterval {
			lastLookup = time.Now()
			calls.Go(l.lookup)
		}
		calls.Go(func() { l.sendOne(ctx, request) })
	}
	calls.Wait()
}

func (l *loader) sendOne(ctx context.Context, request lab.Request) {
	kind := l.load.Kinds[request.Kind]
	call := standin.Call{
		Path: kind.Path, Body: kind.Body, Key: standin.DefaultAccountKey, Prompt: request.Prompt, Output: request.Output, Deadline: kind.Deadline,
	}
	ctx, cancel := context.WithTimeout(ctx, call.Deadline)
	defer cancel()
	addresses := l.currentAddresses()
	if len(addresses) == 0 {
		return
	}
	reply := l.caller.Send(ctx, addresses[rand.IntN(len(addresses))], call)
	end, latency := classify(kind, call, reply)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Add(request, end, latency)
}

// classify returns how a request ended for its caller, and its latency: until the
// first byte for requests with a prompt, until the complete answer for others.
func classify(kind lab.Kind, call standin.Call, reply standin.Reply) (lab.End, time.Duration) {
	latency := reply.Duration
	if call.Prompt > 0 {
		latency = reply.FirstByte
	}
	switch {
	case reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests:
		return lab.Refused, latency
	case reply.Status != http.StatusOK || !reply.Complete:
		return lab.Failed, latency
	case reply.Body != call.Expected(reply.Attempt):
		return lab.Wrong, latency
	case latency > kind.Aim:
		return lab.Late, latency
	}
	return lab.InTime, latency
}
