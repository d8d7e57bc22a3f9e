// Package lab is the arithmetic of experiments: loads described in files and
// drawn from a seed, reports of what came of them, and comparisons of reports of
// two builds or policies. Sending the load is gentianlab's.
package lab

import (
	"bytes"
	"math/rand/v2"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Load describes what callers ask, as its file does.
type Load struct {
	Rate   float64       `yaml:"rate"` // requests a second outside bursts
	Length time.Duration `yaml:"length"`
	Bursts []Burst       `yaml:"bursts"`
	Kinds  []Kind        `yaml:"kinds"`
}

// Burst multiplies the rate for a while.
type Burst struct {
	At    time.Duration `yaml:"at"` // from the start of the load
	For   time.Duration `yaml:"for"`
	Times float64       `yaml:"times"`
}

// Kind is one kind of request.
type Kind struct {
	Name     string        `yaml:"name"`
	Path     string        `yaml:"path"`
	Share    float64       `yaml:"share"` // of all requests; the shares add up to 1
	Body     string        `yaml:"body"`
	Prompt   Size          `yaml:"prompt"` // tokens; a plain call has none
	Output   Size          `yaml:"output"` // tokens
	Aim      time.Duration `yaml:"aim"`    // latency objective: first event, or whole answer
	Deadline time.Duration `yaml:"deadline"`
	Worth    float64       `yaml:"worth"` // of an answer in time; one that is late counts LateWorth of it
}

// Size is an even draw between two numbers.
type Size struct {
	Least int `yaml:"least"`
	Most  int `yaml:"most"`
}

func (s Size) draw(rng *rand.Rand) int {
	if s.Most <= s.Least {
		return s.Least
	}
	return s.Least + rng.IntN(s.Most-s.Least+1)
}

// shareSlack is how far the shares may add up beside 1, for rounding.
const shareSlack = 0.001

// ReadLoad reads a load from a YAML file. It fails with BadSetting and names
// what is wrong.
func ReadLoad(path string) (Load, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Load{}, failure.Wrap(failure.BadSetting, err, "read the load")
	}
	return ParseLoad(text)
}

// ParseLoad reads a load; unknown fields are errors, since they are misspelled.
func ParseLoad(text []byte) (Load, error) {
	var l Load
	d := yaml.NewDecoder(bytes.NewReader(text))
	d.KnownFields(true)
	if err := d.Decode(&l); err != nil {
		return Load{}, failure.Wrap(failure.BadSetting, err, "decode the load")
	}
	return l, l.check()
}

func (l Load) check() error {
	if l.Rate <= 0 || l.Length <= 0 || len(l.Kinds) == 0 {
		return failure.New(failure.BadSetting, "a load needs a rate, a length and kinds")
	}
	sum := 0.0
	for _, k := range l.Kinds {
		if k.Name == "" || k.Path == "" || k.Share <= 0 || k.Deadline <= 0 || k.Aim <= 0 {
			return failure.New(failure.BadSetting, "kind %q needs a name, a path, a share, an aim and a deadline", k.Name)
		}
		sum += k.Share
	}
	if sum < 1-shareSlack || sum > 1+shareSlack {
		return failure.New(failure.BadSetting, "the shares of the kinds add up to %.3f, not to 1", sum)
	}
	for _, b := range l.Bursts {
		if b.Times <= 0 || b.For <= 0 {
			return failure.New(failure.BadSetting, "a burst needs a length and a factor")
		}
	}
	return nil
}

// Request is one request of a load.
type Request struct {
	At     time.Duration // from the start
	Kind   int
	Prompt int // tokens
	Output int // tokens
}

// Draw lists the requests of a load. The same seed gives the same list: gaps are
// exponential, so requests come in clumps as callers do.
func (l Load) Draw(seed uint64) []Request {
	rng := rand.New(rand.NewPCG(seed, 0))
	var out []Request
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / l.rateAt(at) * float64(time.Second))
		if at >= l.Length {
			return out
		}
		k := l.draw(rng)
		out = append(out, Request{At: at, Kind: k, Prompt: l.Kinds[k].Prompt.draw(rng), Output: l.Kinds[k].Output.draw(rng)})
	}
}

func (l Load) rateAt(at time.Duration) float64 {
	rate := l.Rate
	for _, b := range l.Bursts {
		if at >= b.At && at < b.At+b.For {
			rate *= b.Times
		}
	}
	return rate
}

func (l Load) draw(rng *rand.Rand) int {
	x := rng.Float64()
	for i, k := range l.Kinds {
		if x -= k.Share; x < 0 {
			return i
		}
	}
	return len(l.Kinds) - 1
}
