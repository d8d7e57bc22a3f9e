package experiment

import (
	"math"

	"github.com/gentianflow/gentianflow/internal/sched"
)

// Sum simulates a load with the seeds from 0 to seeds-1 and adds up the outcomes by kind.
func Sum(l *Load, p sched.Policy, seeds int) []Outcome {
	sum := make([]Outcome, len(l.Kinds))
	for seed := range seeds {
		for k, o := range Simulate(l, p, uint64(seed)) {
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
	o.answeredSizes = append(o.answeredSizes, other.answeredSizes...)
}

// Estimate is a mean over seeds with half the width of its 95% confidence interval.
type Estimate struct{ Mean, HalfWidth float64 }

// Row holds the results of one kind under a policy, as shares of its requests.
type Row struct {
	Kind                 string
	InTime, Served, Late Estimate
	LargestTenthServed   Estimate // among the largest tenth of the requests
}

// SimulateRows simulates a load with the seeds from 0 to seeds-1 and returns a row for each kind.
func SimulateRows(l *Load, p sched.Policy, seeds int) []Row {
	runs := make([][]Outcome, seeds)
	for seed := range runs {
		runs[seed] = Simulate(l, p, uint64(seed))
	}
	rows := make([]Row, len(l.Kinds))
	for k := range rows {
		estimate := func(f func(Outcome) float64) Estimate {
			values := make([]float64, seeds)
			for i := range values {
				values[i] = f(runs[i][k])
			}
			return meanWithInterval(values)
		}
		rows[k] = Row{
			Kind: l.Kinds[k].Name, InTime: estimate(Outcome.InTime), Served: estimate(Outcome.Served),
			LargestTenthServed: estimate(Outcome.LargestServed),
			Late:               estimate(func(o Outcome) float64 { return share(o.Late, o.Asked) }),
		}
	}
	return rows
}

// z95 is half the width of a 95% confidence interval in standard errors.
const z95 = 1.96

func meanWithInterval(values []float64) Estimate {
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
		return Estimate{Mean: mean}
	}
	return Estimate{Mean: mean, HalfWidth: z95 * math.Sqrt(squares/(n-1)/n)}
}
