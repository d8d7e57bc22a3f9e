package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Fingerprint tells whether two requests are the same one that came again, by whatever
// attempt and host. The zero value is that of a request that is not known.
type Fingerprint [16]byte

// Of is the fingerprint of a request: two have the same one when method, host, target,
// caller and body are the same. The hash is cryptographic, since callers choose what goes
// in: nobody can make a request that is taken for another caller's.
func Of(method, host, target, caller string, body []byte) Fingerprint {
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

// FromBytes is the fingerprint that Bytes gave; anything else is not known.
func FromBytes(b []byte) Fingerprint {
	var f Fingerprint
	if len(b) == len(f) {
		copy(f[:], b)
	}
	return f
}

// Known reports whether f names a request.
func (f Fingerprint) Known() bool { return f != Fingerprint{} }

// Bytes is f as messages carry it, nil when it is not known.
func (f Fingerprint) Bytes() []byte {
	if !f.Known() {
		return nil
	}
	return f[:]
}

// String is what logs, operators and the store name it by.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Parse reads what String gave and reports false for anything else.
func Parse(text string) (Fingerprint, bool) {
	b, err := hex.DecodeString(text)
	f := FromBytes(b)
	return f, err == nil && f.Known()
}
