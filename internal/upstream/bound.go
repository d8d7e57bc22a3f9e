package upstream

import (
	"net"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Bounds of what is read of one answer. A server may send bytes without end where a head or a body is due. The
// heads and answers of the services are a few KB long, those near a bound pass.
const (
	// maxHeadBytes bounds the header of an answer, with the interim answers before it.
	maxHeadBytes = 64 << 10
	// maxBodyBytes bounds the body of an answer.
	maxBodyBytes = 64 << 20
	// maxDiscardedBytes bounds a body that is read to keep the connection: of a late answer to an earlier
	// request, or of a refusal.
	maxDiscardedBytes = 256 << 10
)

// boundedReader reads from a connection until a bound.
type boundedReader struct {
	conn    net.Conn
	what    string // that is being read
	bound   int64
	left    int64
	tooLong bool // the bound was reached

	recording bool
	bytes     []byte // read since record, with those before
}

// record keeps what is read from now on, after the bytes that were read before.
func (r *boundedReader) record(before []byte) {
	r.recording, r.bytes = true, append([]byte(nil), before...)
}

// recorded ends a record and returns it.
func (r *boundedReader) recorded() []byte {
	bytes := r.bytes
	r.recording, r.bytes = false, nil
	return bytes
}

// begin sets the bound of what is read next.
func (r *boundedReader) begin(what string, bound int64) {
	r.what, r.bound, r.left = what, bound, bound
}

// Read implements io.Reader. It fails with ServerLost at the bound.
func (r *boundedReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		r.tooLong = true
		return 0, failure.New(failure.ServerLost, "%s is longer than %d bytes", r.what, r.bound)
	}
	n, err := r.conn.Read(b[:min(int64(len(b)), r.left)])
	r.left -= int64(n)
	if r.recording {
		r.bytes = append(r.bytes, b[:n]...)
	}
	return n, err
}
