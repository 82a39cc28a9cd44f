package revision

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Publisher compiles what a Syncer holds into workspace snapshots and
// puts them in force.
type Publisher struct {
	current  *workspace.CurrentSnapshot
	compiler *workspace.Compiler
	log      *logrus.Entry
	findings atomic.Pointer[workspace.Findings]
	logged   map[workspace.Finding]bool
}

// NewPublisher returns a Configuration that stores snapshots in live.
func NewPublisher(live *workspace.CurrentSnapshot, m *metrics.Registry) *Publisher {
	p := &Publisher{current: live, compiler: workspace.NewCompiler(), log: logs.For("config")}
	if m != nil {
		m.Gauge(groupConfig, "findings", func() any { return len(p.Findings()) })
		m.Gauge(groupConfig, "version", func() any { return p.activeVersion() })
	}
	return p
}

// Attach fills in the options by which a Syncer publishes to c.
func (p *Publisher) Attach(o Options) Options {
	o.Kinds = workspace.Kinds()
	o.Check = Check
	o.Publish = p.Publish
	return o
}

// Check tells whether an object by itself may go in force.
func Check(o objectstore.Object) bool { return workspace.CheckObject(o).Fatal() == nil }

// Publish compiles the objects and puts the snapshot in force. Call it from
// one goroutine at a time.
func (p *Publisher) Publish(objects []objectstore.Object, newest objectstore.Version) {
	snapshot, findings := p.compiler.Compile(objects)
	snapshot.Version = newest // a deletion's version is in no object
	p.current.Store(snapshot)
	p.findings.Store(&findings)
	p.logNew(findings)
}

// logNew logs each finding once, for as long as it stands.
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

// Findings are those of the configuration in force. Safe for concurrent use.
func (p *Publisher) Findings() workspace.Findings {
	if f := p.findings.Load(); f != nil {
		return *f
	}
	return nil
}

// activeVersion is the version in force, 0 before there is one.
func (p *Publisher) activeVersion() objectstore.Version {
	if s := p.current.Load(); s != nil {
		return s.Version
	}
	return 0
}
