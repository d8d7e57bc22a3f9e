package main

import (
	"bufio"
	"net/http"
	"sort"
	"strings"
	"time"
)

// Bounds of the settings for quotas.
const (
	quotaWindow = 8 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 72000.0
)

// arrival is a request that a server runs, with its tokens.
type arrival struct {
	at     time.Time
	tokens float64
}

// busiestWindow returns the largest number of tokens that arrived in any window, and when that window ended.
func busiestWindow(all []arrival, window time.Duration) (most float64, end time.Time) {
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	first, sum := 0, 0.0
	for _, a := range all {
		sum += a.tokens
		for a.at.Sub(all[first].at) > window {
			sum -= all[first].tokens
			first++
		}
		if sum > most {
			most, end = sum, a.at
		}
	}
	return most, end
}

// isHome reports whether a host states in its metrics that it schedules for all.
func (h *host) isHome() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + h.address("7614") + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	named, home := false, false
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		switch {
		case len(fields) == 2 && fields[0] == "gauge":
			named = fields[1] == "is_home"
		case len(fields) == 2 && fields[0] == "value:" && named:
			home = fields[1] == "1"
		}
	}
	return home
}
