package revision

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Configuration compiles what a Syncer holds into workspace snapshots and
// puts them in force.
type Configuration struct {
	live     *workspace.Live
	compiler *workspace.Compiler
	log      *logrus.Entry
	findings atomic.Pointer[workspace.Findings]
	reported map[workspace.Finding]bool
}

// NewConfiguration returns a Configuration that stores snapshots in live.
func NewConfiguration(live *workspace.Live, m *metrics.Registry) *Configuration {
	c := &Configuration{live: live, compiler: workspace.NewCompiler(), log: logs.For("config")}
	if m != nil {
		m.Gauge(groupConfig, "findings", func() any { return len(c.Findings()) })
		m.Gauge(groupConfig, "version", func() any { return c.version() })
	}
	return c
}

// Attach fills in the options by which a Syncer publishes to c.
func (c *Configuration) Attach(o Options) Options {
	o.Kinds = workspace.Kinds()
	o.Check = Check
	o.Publish = c.Publish
	return o
}

// Check tells whether an object by itself may go in force.
func Check(o objectstore.Object) bool { return workspace.CheckObject(o).Fatal() == nil }

// Publish compiles the objects and puts the snapshot in force. Call it from
// one goroutine at a time.
func (c *Configuration) Publish(objects []objectstore.Object, newest objectstore.Version) {
	snapshot, findings := c.compiler.Compile(objects)
	snapshot.Version = newest // a deletion's version is in no object
	c.live.Store(snapshot)
	c.findings.Store(&findings)
	c.report(findings)
}

// report logs each finding once, for as long as it stands.
func (c *Configuration) report(findings workspace.Findings) {
	reported := make(map[workspace.Finding]bool, len(findings))
	for _, f := range findings {
		reported[f] = true
		if !c.reported[f] {
			c.log.Warnf("%s", f)
		}
	}
	c.reported = reported
}

// Findings are those of the configuration in force. Safe for concurrent use.
func (c *Configuration) Findings() workspace.Findings {
	if f := c.findings.Load(); f != nil {
		return *f
	}
	return nil
}

// version is the version in force, 0 before there is one.
func (c *Configuration) version() objectstore.Version {
	if s := c.live.Load(); s != nil {
		return s.Version
	}
	return 0
}
