package lab

import (
	"fmt"
	"io"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Compare writes a table of two reports of the same load and seed. It fails with
// BadSetting if they differ in load or seed, because they are not comparable then.
func Compare(w io.Writer, a, b *Result) error {
	if err := checkComparable(a, b); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "%-27s %9s %23s %23s\n", "", "", a.Label, b.Label)
	_, _ = fmt.Fprintf(w, "%-27s %9s %7s %7s %7s %7s %7s %7s\n", "kind", "sent", "worth", "served", "refused", "worth", "served", "refused")
	for i, k := range a.Load.Kinds {
		_, _ = fmt.Fprintf(w, "%-27s %9d", k.Name, a.Kinds[i].total())
		for _, t := range []*Tally{a.Kinds[i], b.Kinds[i]} {
			_, _ = fmt.Fprintf(w, " %7.3f %7.3f %7.3f", t.worth(), t.share(InTime)+t.share(Late), t.share(Refused))
		}
		_, _ = fmt.Fprintln(w)
	}
	_, _ = fmt.Fprintf(w, "%-27s %9s %7.3f %15s %7.3f   %+.3f\n", "all, by worth", "", a.Worth(), "", b.Worth(), b.Worth()-a.Worth())
	return nil
}

// share returns the share of requests that ended this way.
func (t *Tally) share(end End) float64 {
	if t.total() == 0 {
		return 0
	}
	return float64(t.Ends[end]) / float64(t.total())
}

func checkComparable(a, b *Result) error {
	if a.Seed != b.Seed || fmt.Sprint(a.Load) != fmt.Sprint(b.Load) {
		return failure.New(failure.BadSetting, "the reports are not comparable: seeds %d and %d, or different loads", a.Seed, b.Seed)
	}
	return nil
}
