// Package lab generates loads for experiments from a description and a seed,
// records their results in reports, and compares reports of two builds or
// policies. The command gentianlab sends the load.
package lab

import (
	"bytes"
	"math/rand/v2"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Load describes the requests of callers, as read from a load file.
type Load struct {
	Rate   float64       `yaml:"rate"` // requests a second outside bursts
	Length time.Duration `yaml:"length"`
	Bursts []Burst       `yaml:"bursts"`
	Kinds  []Kind        `yaml:"kinds"`
}

// Burst multiplies the request rate for a while.
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
	Prompt   Size          `yaml:"prompt"` // tokens; none for a plain call
	Output   Size          `yaml:"output"` // tokens
	Aim      time.Duration `yaml:"aim"`    // latency target of the first event, or of the complete answer of a plain call
	Deadline time.Duration `yaml:"deadline"`
	Worth    float64       `yaml:"worth"` // value of an answer in time; a late answer counts LateWorth times this
}

// Size is a range from which sizes are drawn with equal probability, bounds included.
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

// shareTolerance is how far the sum of the shares may differ from 1, for rounding.
const shareTolerance = 0.001

// ReadLoad reads a load from a YAML file. It fails with BadSetting and
// states what is wrong.
func ReadLoad(path string) (Load, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Load{}, failure.Wrap(failure.BadSetting, err, "read the load")
	}
	return ParseLoad(text)
}

// ParseLoad parses a load from YAML. It rejects unknown fields, as they are likely misspelled.
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
	if sum < 1-shareTolerance || sum > 1+shareTolerance {
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
	At     time.Duration // from the start of the load
	Kind   int
	Prompt int // tokens
	Output int // tokens
}

// Draw generates the requests of a load. The same seed gives the same requests.
// The gaps between requests are exponentially distributed, so requests cluster like
// those of real callers.
func (l Load) Draw(seed uint64) []Request {
	rng := rand.New(rand.NewPCG(seed, 0))
	var out []Request
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / l.rateAt(at) * float64(time.Second))
		if at >= l.Length {
			return out
		}
		k := l.drawKind(rng)
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

func (l Load) drawKind(rng *rand.Rand) int {
	x := rng.Float64()
	for i, k := range l.Kinds {
		if x -= k.Share; x < 0 {
			return i
		}
	}
	return len(l.Kinds) - 1
}
