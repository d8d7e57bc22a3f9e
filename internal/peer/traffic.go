package peer

import "sync/atomic"

// Traffic counts the bytes of control between hosts, both ways.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}
