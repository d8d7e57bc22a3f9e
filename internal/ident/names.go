package ident

import "github.com/cespare/xxhash/v2"

// ServerID and AccountID are four-byte hashes that replace names in frequent
// messages. Two names must not have the same id; the configuration check
// rejects equal names but does not compare the ids.
type (
	ServerID  uint32
	AccountID uint32
)

// ServerIDOf returns the id of a backend server's name.
func ServerIDOf(name string) ServerID { return ServerID(xxhash.Sum64String(name)) }

// AccountIDOf returns the id of a client account's name.
func AccountIDOf(name string) AccountID { return AccountID(xxhash.Sum64String(name)) }
