package capacity

import (
	"context"
	"io"
	"runtime"
	"time"

	"github.com/pkg/errors"
)

// step measures one group of series.
type step struct {
	name string
	run  func(context.Context, *Measured) error
}

// steps in the order in which they run.
func steps() []step {
	return []step{
		{"scheduler", func(_ context.Context, m *Measured) error { measurePool(m); return nil }},
		{"owner", measureOwner},
		{"pool messages", func(_ context.Context, m *Measured) error { measureWire(m); return nil }},
		{"snapshots", func(_ context.Context, m *Measured) error { return measureSnapshots(m) }},
		{"configuration spread", measureSpread},
		{"membership", measureMembers},
		{"peers", measurePeers},
		{"store calls", measureStore},
		{"streams", measureStreams},
	}
}

// Run measures everything and reports each step's name and time to progress.
// It takes a few minutes and is best run on a quiet machine: processor times
// leave out other processes, but not the caches that they displace.
func Run(ctx context.Context, progress io.Writer) (*Measured, error) {
	m := &Measured{Machine: Machine{
		Cores: runtime.NumCPU(), Go: runtime.Version(), Date: time.Now().UTC().Format(time.DateOnly),
	}}
	for _, s := range steps() {
		start := time.Now()
		if err := s.run(ctx, m); err != nil {
			return nil, errors.Wrap(err, s.name)
		}
		writeProgress(progress, s.name, time.Since(start))
	}
	return m, nil
}
