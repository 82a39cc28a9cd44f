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

// groups returns all groups in run order.
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

// Groups returns the names that Run accepts.
func Groups() []string {
	var names []string
	for _, s := range groups() {
		names = append(names, s.name)
	}
	return names
}

// Run runs the selected groups, or all if none is selected, stores the results in m,
// and reports each group's duration to progress. All groups take a few minutes. Run
// them on an idle machine: CPU times leave out other processes, but not their effect
// on the CPU caches.
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
