// Package experiment compares scheduling policies. For each policy it runs the
// production entry, broker, pool host and pool in this process, in real time, with
// stand-in engines and the same arrivals. Package load evaluates what callers got. A
// replay of the pool's events and commands and of the engines' run logs checks that
// the scheduling rules were kept.
package experiment

import (
	"fmt"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/load"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Scenario describes a fleet, its offered load and its faults.
type Scenario struct {
	Name        string `json:"name"`
	Description string `json:"about"`
	// DurationMs is how long requests arrive. LongDurationMs replaces it in long runs;
	// 0 means that there is none.
	DurationMs     int `json:"duration_ms"`
	LongDurationMs int `json:"long_duration_ms,omitempty"`
	// MaxWaiting limits the pool's queue; 0 means the default.
	MaxWaiting int `json:"max_waiting,omitempty"`
	// Engines make up the scenario's only pool. They are numbered in this order, from
	// 0.
	Engines []EngineGroup `json:"engines"`
	Mix     load.Mix      `json:"mix"`
	Faults  []Fault       `json:"faults,omitempty"`
}

// EngineGroup is a number of identical engines.
type EngineGroup struct {
	Count      int    `json:"count"`
	Generation string `json:"generation"`
	// Slots is the configured number of slots; the engine's actual batch may be
	// smaller or larger.
	Slots  int             `json:"slots"`
	Engine standin.Options `json:"engine"`
}

// Fault is a fault of one engine.
type Fault struct {
	AtMs   int `json:"at_ms"`
	Engine int `json:"engine"`
	// Crash makes the engine lose its runs and restart.
	Crash bool `json:"crash,omitempty"`
	// Faults replace the engine's current faults.
	Faults *standin.Faults `json:"faults,omitempty"`
}

// Duration returns how long requests arrive.
func (s *Scenario) Duration(long bool) time.Duration {
	ms := s.DurationMs
	if long && s.LongDurationMs > 0 {
		ms = s.LongDurationMs
	}
	return time.Duration(ms) * time.Millisecond
}

// maxDurationMs limits a run, because experiments are not soak tests.
const maxDurationMs = 10 * 60 * 1000

// Parse decodes and checks a scenario file. The error is a workspace.Findings with all
// findings of the file.
func Parse(file string, data []byte) (*Scenario, error) {
	return load.ParseFile(file, data, func(s *Scenario) workspace.Findings { return s.Check(file) })
}

// Check returns all findings.
func (s *Scenario) Check(file string) workspace.Findings {
	f := s.Mix.Check(file, "mix")
	if s.Name == "" {
		f.Add(file, "name", "is required")
	}
	if s.DurationMs <= 0 || s.DurationMs > maxDurationMs || s.LongDurationMs < 0 || s.LongDurationMs > maxDurationMs {
		f.Add(file, "duration_ms", "durations must be above 0 and at most %d ms", maxDurationMs)
	}
	if s.MaxWaiting < 0 {
		f.Add(file, "max_waiting", "%d is negative", s.MaxWaiting)
	}
	engines := s.checkEngines(file, &f)
	for i, x := range s.Faults {
		path := fmt.Sprintf("faults[%d]", i)
		if x.Engine < 0 || x.Engine >= engines {
			f.Add(file, path+".engine", "%d is not between 0 and %d", x.Engine, engines-1)
		}
		if x.AtMs < 0 || (x.Crash == (x.Faults != nil)) {
			f.Add(file, path, "at_ms must not be negative, and exactly one of crash and faults is required")
		}
	}
	for i := range s.Mix.Classes {
		if m := s.Mix.Classes[i].Model; m != s.Mix.Classes[0].Model {
			f.Add(file, fmt.Sprintf("mix.classes[%d].model", i), "all classes must use the model of the experiment's only pool, %q", s.Mix.Classes[0].Model)
		}
	}
	return f
}

func (s *Scenario) checkEngines(file string, f *workspace.Findings) int {
	engines := 0
	for i, g := range s.Engines {
		if g.Count < 1 || g.Slots < 1 || g.Generation == "" {
			f.Add(file, fmt.Sprintf("engines[%d]", i), "count and slots must be above 0, generation is required")
		}
		if o := g.Engine; o.Slots < 1 || o.StepMs <= 0 || o.PrefillPerSecond <= 0 || o.CacheBlocks < 1 {
			f.Add(file, fmt.Sprintf("engines[%d].engine", i), "slots, step_ms, prefill_per_second and cache_blocks are required to compute the offered load")
		}
		engines += max(0, g.Count)
	}
	if engines < 1 || engines > workspace.MaxPoolServers {
		f.Add(file, "engines", "%d engines are not between 1 and %d", engines, workspace.MaxPoolServers)
	}
	return engines
}
