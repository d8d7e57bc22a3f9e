package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// TraitKind is what a Trait consists of. Of two traits that explain the same ends of servers
// equally well, the one of the lower kind is blamed.
type TraitKind uint8

// The kinds of traits.
const (
	PromptPart   TraitKind = iota + 1 // a prompt part, whoever sends it
	AccountPart                       // a prompt part in requests of one client account
	AccountRoute                      // the requests of one client account on a route
)

// Trait is something that requests have in common and that may be the cause of the ends of the
// servers that run them, whatever else differs between the requests.
type Trait struct {
	Kind    TraitKind
	Service string
	Account string // empty for PromptPart
	Route   string // empty unless AccountRoute
	Part    uint64 // 0 for AccountRoute
}

// maxTraitParts is the number of prompt parts of a request that may be blamed, the first ones.
const maxTraitParts = 64

// TraitsOf returns the traits of a request of an account on a route of a service. parts are the
// prompt parts that other requests may share. A request without an account has no traits of one.
func TraitsOf(service, account, route string, parts []uint64) []Trait {
	parts = parts[:min(len(parts), maxTraitParts)]
	traits := make([]Trait, 0, 2*len(parts)+1)
	for i, part := range parts {
		if slices.Contains(parts[:i], part) {
			continue
		}
		traits = append(traits, Trait{Kind: PromptPart, Service: service, Part: part})
		if account != "" {
			traits = append(traits, Trait{Kind: AccountPart, Service: service, Account: account, Part: part})
		}
	}
	if account != "" {
		traits = append(traits, Trait{Kind: AccountRoute, Service: service, Account: account, Route: route})
	}
	return traits
}

// String describes the trait as log fields.
func (t Trait) String() string {
	switch t.Kind {
	case PromptPart:
		return "part=" + t.PartName()
	case AccountPart:
		return "part=" + t.PartName() + " of_account=" + t.Account
	case AccountRoute:
		return "requests_of=" + t.Account + " on_route=" + t.Route
	}
	return "unknown"
}

// PartName returns the hexadecimal form of the part, as callers write it.
func (t Trait) PartName() string { return fmt.Sprintf("%08x", t.Part) }

// traitKeyPrefix distinguishes the keys of traits in the store from fingerprints of requests.
const traitKeyPrefix = "trait-"

// Key returns the key of the trait in the store and in operators' commands.
func (t Trait) Key() string {
	h := sha256.Sum256(fmt.Appendf(nil, "%d %q %q %q %x", t.Kind, t.Service, t.Account, t.Route, t.Part))
	return traitKeyPrefix + hex.EncodeToString(h[:16])
}

// IsTraitKey reports whether a key of the store is one of a trait.
func IsTraitKey(key string) bool { return strings.HasPrefix(key, traitKeyPrefix) }

func compareTraits(a, b Trait) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Route, b.Route), cmp.Compare(a.Part, b.Part))
}
