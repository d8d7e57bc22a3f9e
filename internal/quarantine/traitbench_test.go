package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// benchParts are the shared parts of a request in the benchmarks.
var benchParts = []uint64{1, 2, 3, 4, 5}

// BenchmarkAnswer records the answer of a request with five shared parts, which the home does for each
// request.
func BenchmarkAnswer(b *testing.B) {
	t := NewTraitTable(NewTable())
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * time.Millisecond
		traits := TraitsOf("s", "a", "r", benchParts)
		t.Begun(now, now, "s", traits)
		t.Whole(now, "s", traits)
	}
}

// BenchmarkJudge judges all traits of a request with five shared parts, one of which is suspect, with a full
// table and its judgments outdated each time.
func BenchmarkJudge(b *testing.B) {
	t := NewTraitTable(NewTable())
	for i := range 300 {
		parts := append([]uint64{uint64(1000 + i)}, benchParts...)
		t.Add(time.Duration(i)*time.Second, TraitLoss{Request: request("a", i), Account: "a", Server: fmt.Sprint("e", i), At: time.Duration(i) * time.Second, Traits: TraitsOf("s", "a", "r", parts)})
	}
	traits := TraitsOf("s", "a", "r", benchParts)
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		t.revision++
		for _, p := range traits {
			t.Judge(300*time.Second, p, "a", traits, answering)
		}
	}
}
