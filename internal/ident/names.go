package ident

import "github.com/cespare/xxhash/v2"

// ServerID and AccountID are four-byte hashes that replace names in frequent
// messages. The configuration check rejects two names with the same id.
type (
	ServerID  uint32
	AccountID uint32
)

// ServerIDOf returns the id of a backend server's name.
func ServerIDOf(name string) ServerID { return ServerID(xxhash.Sum64String(name)) }

// AccountIDOf returns the id of a client account's name.
func AccountIDOf(name string) AccountID { return AccountID(xxhash.Sum64String(name)) }
