package revision

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Publisher compiles the objects of a Syncer into workspace snapshots and makes
// them active.
type Publisher struct {
	current  *workspace.CurrentSnapshot
	compiler *workspace.Compiler
	log      *logrus.Entry
	findings atomic.Pointer[workspace.Findings]
	logged   map[workspace.Finding]bool
}

// NewPublisher returns a Publisher that stores snapshots in current.
func NewPublisher(current *workspace.CurrentSnapshot, m *metrics.Registry) *Publisher {
	p := &Publisher{current: current, compiler: workspace.NewCompiler(), log: logs.For("config")}
	if m != nil {
		m.Gauge(groupConfig, "findings", func() any { return len(p.Findings()) })
		m.Gauge(groupConfig, "version", func() any { return p.activeVersion() })
	}
	return p
}

// Attach sets the options that make a Syncer publish to p.
func (p *Publisher) Attach(o Options) Options {
	o.Kinds = workspace.Kinds()
	o.Check = Check
	o.Publish = p.Publish
	return o
}

// Check reports whether an object on its own is valid and may become active.
func Check(o objectstore.Object) bool { return workspace.CheckObject(o).Fatal() == nil }

// Publish compiles the objects and makes the snapshot active. It must not be
// called concurrently.
func (p *Publisher) Publish(objects []objectstore.Object, newest objectstore.Version) {
	snapshot, findings := p.compiler.Compile(objects)
	snapshot.Version = newest // no object carries the version of a deletion
	p.current.Store(snapshot)
	p.findings.Store(&findings)
	p.logNew(findings)
}

// logNew logs each finding once, until it is resolved.
func (p *Publisher) logNew(findings workspace.Findings) {
	logged := make(map[workspace.Finding]bool, len(findings))
	for _, f := range findings {
		logged[f] = true
		if !p.logged[f] {
			p.log.Warnf("%s", f)
		}
	}
	p.logged = logged
}

// Findings returns the findings of the active configuration. It is safe for
// concurrent use.
func (p *Publisher) Findings() workspace.Findings {
	if f := p.findings.Load(); f != nil {
		return *f
	}
	return nil
}

// activeVersion returns the active version, or 0 before the first one.
func (p *Publisher) activeVersion() objectstore.Version {
	if s := p.current.Load(); s != nil {
		return s.Version
	}
	return 0
}
