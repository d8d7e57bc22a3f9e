package holder

import (
	"sync"
	"time"

	"github.com/gentianflow/gentianflow/internal/ident"
)

// unusedClaims remembers the tokens of claims that were asked for by attempts
// which ended without a dispatch. A row with such a token proves nothing
// against a newer attempt at this host. The zero value is ready. mu guards
// since.
type unusedClaims struct {
	mu    sync.Mutex
	since map[ident.RequestID]time.Time
}

func (u *unusedClaims) add(token ident.RequestID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.since == nil {
		u.since = map[ident.RequestID]time.Time{}
	}
	u.since[token] = time.Now()
}

func (u *unusedClaims) has(token ident.RequestID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.since[token]
	return ok
}

// expire forgets what was added before a moment.
func (u *unusedClaims) expire(before time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for token, at := range u.since {
		if at.Before(before) {
			delete(u.since, token)
		}
	}
}
