// Package callerapi is the HTTP interface for callers: lookup of entry hosts,
// requests with streamed or single responses, and re-attachment to answers, as
// go-kit endpoints. Every call is authenticated as a client account. API is the
// main type; the requests and their answers belong to the holder.Holder.
package callerapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/gentianflow/gentianflow/internal/config"
	"github.com/gentianflow/gentianflow/internal/failure"
)

// authenticate returns the client account that the bearer secret belongs to.
func authenticate(doc *config.Document, r *http.Request) (*config.ClientAccount, error) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return nil, failure.New(failure.Unauthenticated, "the Authorization header carries no bearer secret")
	}
	sum := sha256.Sum256([]byte(secret))
	given := []byte(hex.EncodeToString(sum[:]))
	for i := range doc.ClientAccounts {
		known := []byte(strings.ToLower(doc.ClientAccounts[i].SecretSHA256))
		if subtle.ConstantTimeCompare(given, known) == 1 {
			return &doc.ClientAccounts[i], nil
		}
	}
	return nil, failure.New(failure.Unauthenticated, "no client account has this secret")
}

// authorize returns the service if the account may use it.
func authorize(doc *config.Document, a *config.ClientAccount, service string) (*config.Service, error) {
	svc, ok := doc.Service(service)
	if !ok {
		return nil, failure.New(failure.UnknownService, "no service %q", service)
	}
	for _, s := range a.Services {
		if s == service {
			return svc, nil
		}
	}
	return nil, failure.New(failure.Forbidden, "client account %q may not use service %q", a.Name, service)
}
