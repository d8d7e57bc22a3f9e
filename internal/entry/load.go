package entry

import (
	"time"

	"github.com/gentianflow/gentianflow/internal/serverload"
)

// ServerLoad is the load report in the header of a backend server's answer.
type ServerLoad struct {
	Given bool
	serverload.Report
}

// recordLoad records the load report in a server's answer.
func (x *exchange) recordLoad(server string, l ServerLoad) {
	if l.Given && l.Valid() {
		x.h.Placer.RecordLoad(server, l.Report)
	}
}

// loadFields formats the newest load report of a server for the events of requests.
func loadFields(now time.Time, r serverload.Received) string {
	if !r.Known() {
		return ""
	}
	return " load=" + r.Report.String() + " load_age=" + formatDuration(now.Sub(r.At))
}
