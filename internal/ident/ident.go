// Package ident defines the identifiers that processes exchange: request ids,
// host incarnations, and short ids of backend servers and client accounts.
package ident

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// requestIDLen is the length of a request id in bytes, incarnationDigits the
// number of hex digits of an incarnation.
const (
	requestIDLen      = 16
	incarnationDigits = 16
)

// Incarnation identifies one process start of one entry host. It is random, so
// a host restarted at the same address is never mistaken for its predecessor.
type Incarnation uint64

// NewIncarnation returns a non-zero incarnation from the system's random source.
func NewIncarnation() Incarnation {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand documents that it never fails on Linux
	}
	return Incarnation(binary.BigEndian.Uint64(b[:]) | 1)
}

// String returns the incarnation as 16 hex digits.
func (i Incarnation) String() string {
	return fmt.Sprintf("%0*x", incarnationDigits, uint64(i))
}

// ParseIncarnation parses the format of Incarnation.String. It fails with
// BadRequest.
func ParseIncarnation(s string) (Incarnation, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil || v == 0 || len(s) != incarnationDigits {
		return 0, failure.New(failure.BadRequest, "incarnation %q is not 16 hex digits", s)
	}
	return Incarnation(v), nil
}

// RequestID identifies one request across all its attempts. The first eight
// bytes of a generated id are the incarnation of the host that the request is
// sent to first, its ticket; a keyed id is a hash of the client account and the
// Idempotency-Key.
type RequestID [requestIDLen]byte

// NewRequestID generates a random id that begins with the given incarnation.
func NewRequestID(firstHost Incarnation) RequestID {
	var id RequestID
	binary.BigEndian.PutUint64(id[:8], uint64(firstHost))
	if _, err := rand.Read(id[8:]); err != nil {
		panic(err) // crypto/rand documents that it never fails on Linux
	}
	return id
}

// KeyedRequestID derives the id of a request that carries an Idempotency-Key.
func KeyedRequestID(account, key string) RequestID {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	var id RequestID
	copy(id[:], sum[:requestIDLen])
	return id
}

// Ticket returns the incarnation that a generated id begins with.
func (id RequestID) Ticket() Incarnation {
	return Incarnation(binary.BigEndian.Uint64(id[:8]))
}

// String returns the id as 32 hex digits.
func (id RequestID) String() string { return hex.EncodeToString(id[:]) }

// MarshalText implements encoding.TextMarshaler, for the JSON histories of package
// history.
func (id RequestID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *RequestID) UnmarshalText(b []byte) error {
	v, err := ParseRequestID(string(b))
	if err != nil {
		return err
	}
	*id = v
	return nil
}

// ParseRequestID parses the format of RequestID.String. It fails with
// BadRequest.
func ParseRequestID(s string) (RequestID, error) {
	var id RequestID
	if len(s) != 2*requestIDLen {
		return id, failure.New(failure.BadRequest, "request id %q is not %d hex digits", s, 2*requestIDLen)
	}
	if _, err := hex.Decode(id[:], []byte(s)); err != nil {
		return id, failure.New(failure.BadRequest, "request id %q is not hexadecimal", s)
	}
	return id, nil
}

// RequestIDFromBytes decodes an id from a wire message. It fails with BadFrame.
func RequestIDFromBytes(b []byte) (RequestID, error) {
	var id RequestID
	if len(b) != requestIDLen {
		return id, failure.New(failure.BadFrame, "request id has %d bytes", len(b))
	}
	copy(id[:], b)
	return id, nil
}
