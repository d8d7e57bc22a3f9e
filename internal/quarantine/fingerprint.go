package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Fingerprint identifies a request across its attempts and the hosts that receive them. The zero
// value means that it is unknown.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request. Requests have the same one if method, host,
// target, caller and body are equal. The hash is cryptographic, since callers choose the input: no
// caller can forge a request with the fingerprint of another caller's request.
func NewFingerprint(method, host, target, caller string, body []byte) Fingerprint {
	h := sha256.New()
	for _, field := range []string{method, host, target, caller} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(field)))
		_, _ = h.Write(length[:]) // never fails
		_, _ = io.WriteString(h, field)
	}
	_, _ = h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// FingerprintFromBytes converts the result of Bytes back; any other input gives the zero value.
func FingerprintFromBytes(b []byte) Fingerprint {
	var f Fingerprint
	if len(b) == len(f) {
		copy(f[:], b)
	}
	return f
}

// Known reports whether f identifies a request.
func (f Fingerprint) Known() bool { return f != Fingerprint{} }

// Bytes returns the form used in messages, nil for an unknown fingerprint.
func (f Fingerprint) Bytes() []byte {
	if !f.Known() {
		return nil
	}
	return f[:]
}

// String returns the hexadecimal form used in logs, in operators' commands and as store key.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint converts the result of String back; it reports false for any other input.
func ParseFingerprint(text string) (Fingerprint, bool) {
	b, err := hex.DecodeString(text)
	f := FingerprintFromBytes(b)
	return f, err == nil && f.Known()
}
