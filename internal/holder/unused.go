package holder

import (
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/ident"
)

// unusedClaims remembers the tokens of claims that were requested by attempts
// that ended without a dispatch. A claim row with such a token does not mean
// that the request ran, so a newer attempt at this host may replace it. The
// zero value is ready to use. mu guards addedAt.
type unusedClaims struct {
	mu      sync.Mutex
	addedAt map[ident.RequestID]time.Time
}

func (u *unusedClaims) add(token ident.RequestID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.addedAt == nil {
		u.addedAt = map[ident.RequestID]time.Time{}
	}
	u.addedAt[token] = time.Now()
}

func (u *unusedClaims) has(token ident.RequestID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.addedAt[token]
	return ok
}

// expire removes the tokens that were added before the given time.
func (u *unusedClaims) expire(before time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for token, at := range u.addedAt {
		if at.Before(before) {
			delete(u.addedAt, token)
		}
	}
}
