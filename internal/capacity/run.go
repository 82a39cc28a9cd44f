package capacity

import (
	"context"
	"io"
	"runtime"
	"slices"
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
		{"prefixes", func(_ context.Context, m *Measured) error { measurePrefixes(m); return nil }},
		{"owner", measureOwner},
		{"messages", func(_ context.Context, m *Measured) error { measureWire(m); return nil }},
		{"snapshots", func(_ context.Context, m *Measured) error { return measureSnapshots(m) }},
		{"spread", measureSpread},
		{"membership", measureMembers},
		{"peers", measurePeers},
		{"store", measureStore},
		{"streams", measureStreams},
	}
}

// Groups names what Run can measure by itself.
func Groups() []string {
	var names []string
	for _, s := range steps() {
		names = append(names, s.name)
	}
	return names
}

// Run measures the named groups, or all where none is named, into m, and
// reports each group's time to progress. All of them take a few minutes and
// are best run on a quiet machine: processor times leave out other processes,
// but not the caches that they displace.
func Run(ctx context.Context, progress io.Writer, m *Measured, only []string) error {
	m.Machine = Machine{
		Cores: runtime.NumCPU(), Go: runtime.Version(), Date: time.Now().UTC().Format(time.DateOnly),
	}
	for _, s := range steps() {
		if len(only) > 0 && !slices.Contains(only, s.name) {
			continue
		}
		start := time.Now()
		if err := s.run(ctx, m); err != nil {
			return errors.Wrap(err, s.name)
		}
		writeProgress(progress, s.name, time.Since(start))
	}
	return nil
}
