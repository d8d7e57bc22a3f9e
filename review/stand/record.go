package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each, with the seconds since its start.
type record struct {
	mu      sync.Mutex
	f       *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, started: time.Now()}, nil
}

// add writes a line of a kind with pairs of names and values.
func (r *record) add(kind string, pairs ...any) {
	var b strings.Builder
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%q", pairs[i], fmt.Sprint(pairs[i+1]))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f %-8s%s\n", time.Since(r.started).Seconds(), kind, b.String()) // shown by the missing line
}

// say writes a line of text to the record and to standard output.
func (r *record) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	r.add("result", "text", text)
}

func (r *record) close() { _ = r.f.Close() }
