package standin

import "time"

// plainRate is the rate of all calls to the plain service, per second.
const plainRate = 20

// TsumugiMix returns the request mix of the Kyushu Fleet. rate is the number of model
// requests per second.
func TsumugiMix(rate float64) []Work {
	return []Work{
		{Service: "loop-app", Kind: "swap-match", Tier: 1, Rate: plainRate / 2, Deadline: 500 * time.Millisecond, Path: "swap-match"},
		{Service: "loop-app", Kind: "pickup-confirmation", Tier: 1, Rate: plainRate / 2, Deadline: 500 * time.Millisecond, Path: "pickup", NonIdempotent: true},
		{Service: "tsumugi-llm", Kind: "chat-helper", Tier: 2, Rate: rate * 0.70, PrefixCount: 4, PrefixTokens: 1000, UnsharedTokens: 150, Output: 60, Deadline: 3 * time.Second},
		{Service: "tsumugi-llm", Kind: "bundle-appraisal", Tier: 3, Rate: rate * 0.15, PrefixCount: 3, PrefixTokens: 1500, UnsharedTokens: 10000, Output: 500, Deadline: 60 * time.Second},
		{Service: "tsumugi-llm", Kind: "family-digest", Tier: 4, Rate: rate * 0.15, PrefixCount: 2, PrefixTokens: 800, UnsharedTokens: 3000, Output: 400, Deadline: 300 * time.Second},
	}
}

// QasidaMix returns the request mix of the Manuscript Routing Fleet. rate is the number
// of model requests per second.
func QasidaMix(rate float64) []Work {
	return []Work{
		{Service: "fihrist-app", Kind: "catalogue-lookup", Tier: 1, Rate: plainRate / 2, Deadline: 500 * time.Millisecond, Path: "catalogue"},
		{Service: "fihrist-app", Kind: "stock-change", Tier: 1, Rate: plainRate / 2, Deadline: 500 * time.Millisecond, Path: "stock", NonIdempotent: true},
		{Service: "qalam-models", Kind: "gloss-note", Tier: 2, Rate: rate * 0.60, PrefixCount: 40, PrefixTokens: 8000, UnsharedTokens: 300, Output: 150, Deadline: 8 * time.Second},
		{Service: "qalam-models", Kind: "reader-report", Tier: 3, Rate: rate * 0.20, PrefixCount: 30, PrefixTokens: 30000, UnsharedTokens: 500, Output: 700, Deadline: 90 * time.Second},
		{Service: "qalam-models", Kind: "manuscript-reading", Tier: 4, Rate: rate * 0.20, PrefixCount: 60, PrefixTokens: 30000, UnsharedTokens: 2000, Output: 900, Deadline: 300 * time.Second},
	}
}
