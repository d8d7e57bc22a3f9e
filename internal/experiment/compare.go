package experiment

import (
	"math"

	"github.com/gentianflow/gentianflow/internal/sched"
)

// Sum adds up the outcomes of a load by kind over seeds from 0 on.
func Sum(l *Load, p sched.Policy, seeds int) []Outcome {
	sum := make([]Outcome, len(l.Kinds))
	for seed := range seeds {
		for k, o := range Play(l, p, uint64(seed)) {
			sum[k].add(o)
		}
	}
	return sum
}

func (o *Outcome) add(other Outcome) {
	o.Asked += other.Asked
	o.OnTime += other.OnTime
	o.Late += other.Late
	o.Refused += other.Refused
	o.Left += other.Left
	o.Cut += other.Cut
	o.Paused += other.Paused
	o.sizes = append(o.sizes, other.sizes...)
	o.whole = append(o.whole, other.whole...)
}

// Figure is a mean over seeds with half the width of its interval of 95%.
type Figure struct{ Mean, Within float64 }

// Row compares one kind under a policy.
type Row struct {
	Kind                 string
	InTime, Served, Late Figure
	LargestServed        Figure // of the largest tenth
}

// Rows plays a load over seeds and returns a row a kind.
func Rows(l *Load, p sched.Policy, seeds int) []Row {
	plays := make([][]Outcome, seeds)
	for seed := range plays {
		plays[seed] = Play(l, p, uint64(seed))
	}
	rows := make([]Row, len(l.Kinds))
	for k := range rows {
		of := func(f func(Outcome) float64) Figure {
			values := make([]float64, seeds)
			for i := range values {
				values[i] = f(plays[i][k])
			}
			return figure(values)
		}
		rows[k] = Row{
			Kind: l.Kinds[k].Name, InTime: of(Outcome.InTime), Served: of(Outcome.Served),
			LargestServed: of(Outcome.LargestServed),
			Late:          of(func(o Outcome) float64 { return share(o.Late, o.Asked) }),
		}
	}
	return rows
}

// normal is the half width of an interval of 95% in standard errors.
const normal = 1.96

func figure(values []float64) Figure {
	n := float64(len(values))
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
	}
	mean := sum / n
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	if n < 2 {
		return Figure{Mean: mean}
	}
	return Figure{Mean: mean, Within: normal * math.Sqrt(squares/(n-1)/n)}
}
