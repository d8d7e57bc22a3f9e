package sched

import "time"

// forecastSample is a refused request whose place in the queue is kept, to find out whether the forecast
// was right.
type forecastSample struct {
	rank       Time
	refusedAt  Time
	onTimeTill Time // latest start to be on time
	usefulTill Time // latest useful start
	wait       time.Duration
}

// takeSample keeps the place of w, which is refused by a forecast, unless enough others are watched.
func (s *Scheduler) takeSample(now Time, svc *service, pq *priorityQueue, w *waiting, f forecast) {
	p := &pq.forecast
	if p.untilSample--; p.untilSample > 0 || len(p.samples) >= forecastSamples {
		return
	}
	p.untilSample = forecastSamples / 4
	p.samples = append(p.samples, forecastSample{
		rank: w.rank, refusedAt: now, wait: f.wait,
		onTimeTill: w.LatencyTarget - svc.timeToFirstEvent.upperBound(), usefulTill: s.latestUsefulStart(svc, w),
	})
}

// checkSamples compares the forecasts of refused requests with w, which has been placed: a request that
// goes before w in the queue would have started by now. One that could not be on time any more goes
// before w only if w can't be either. The work of the refused requests themselves is missing from the
// queue, so a refusal counted as wrong would not always have been avoidable for all of them.
func (s *Scheduler) checkSamples(now Time, svc *service, pq *priorityQueue, w *waiting) {
	p := &pq.forecast
	if len(p.samples) == 0 || w.reserved {
		return
	}
	wIsLate := w.LatencyTarget < now+svc.timeToFirstEvent.upperBound()
	kept := p.samples[:0]
	for _, sample := range p.samples {
		switch {
		case now > sample.usefulTill:
			s.forecastStats.Right++
		case w.rank > sample.rank && (wIsLate || now <= sample.onTimeTill):
			s.forecastStats.Wrong++
			s.forecastErrors.add((sample.wait - (now - sample.refusedAt)).Abs())
		default:
			kept = append(kept, sample)
		}
	}
	p.samples = kept
}

// expireSamples counts the forecasts of refused requests that could not have started in useful time.
func (s *Scheduler) expireSamples(now Time, svc *service) {
	for _, pq := range svc.queue.priorityQueues {
		p := &pq.forecast
		kept := p.samples[:0]
		for _, sample := range p.samples {
			if now > sample.usefulTill {
				s.forecastStats.Right++
			} else {
				kept = append(kept, sample)
			}
		}
		p.samples = kept
	}
}
