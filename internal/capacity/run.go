package capacity

import (
	"context"
	"io"
	"runtime"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// group measures one group of series.
type group struct {
	name string
	run  func(context.Context, *Measurements) error
}

// groups in the order in which they run.
func groups() []group {
	return []group{
		{"scheduler", func(_ context.Context, m *Measurements) error { measurePool(m); return nil }},
		{"prefixes", func(_ context.Context, m *Measurements) error { measurePrefixes(m); return nil }},
		{"owner", measureOwner},
		{"messages", func(_ context.Context, m *Measurements) error { measureWire(m); return nil }},
		{"snapshots", func(_ context.Context, m *Measurements) error { return measureSnapshots(m) }},
		{"spread", measurePropagation},
		{"membership", measureMembers},
		{"peers", measurePeers},
		{"store", measureStore},
		{"streams", measureStreams},
	}
}

// Groups names what Run can measure by itself.
func Groups() []string {
	var names []string
	for _, s := range groups() {
		names = append(names, s.name)
	}
	return names
}

// Run measures the named groups, or all where none is named, into m, and
// reports each group's time to progress. All of them take a few minutes and
// are best run on a quiet machine: processor times leave out other processes,
// but not the caches that they displace.
func Run(ctx context.Context, progress io.Writer, m *Measurements, selected []string) error {
	m.Machine = Machine{
		Cores: runtime.NumCPU(), Go: runtime.Version(), Date: time.Now().UTC().Format(time.DateOnly),
	}
	for _, s := range groups() {
		if len(selected) > 0 && !slices.Contains(selected, s.name) {
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
