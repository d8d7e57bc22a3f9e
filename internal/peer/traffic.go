package peer

import "sync/atomic"

// Traffic counts the bytes of control traffic between hosts in both directions.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}
