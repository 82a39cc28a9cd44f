package gateway

import (
	"context"
	"expvar"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"github.com/lycheekeel/lycheekeel/internal/wait"
)

// taskRestartDelay is the pause before a background task that panicked begins anew.
const taskRestartDelay = time.Second

// tasks are the background tasks of a daemon.
//
// A panic costs one pass of its task, which then begins anew. A conc.WaitGroup alone would keep
// the panic until all its goroutines have ended: the task would be missing for the rest of the
// process's life, and a daemon that follows the store no more looks like a sound one.
type tasks struct {
	group    conc.WaitGroup
	panicked *expvar.Int
	log      *logrus.Entry
}

// Go runs a task until ctx ends.
func (t *tasks) Go(ctx context.Context, name string, run func(ctx context.Context)) {
	t.group.Go(func() {
		for t.try(name, func() { run(ctx) }) != nil && ctx.Err() == nil {
			wait.For(ctx, taskRestartDelay)
		}
	})
}

// try runs a pass of a task and returns its panic, which it logs and counts; nil: none.
func (t *tasks) try(name string, run func()) *panics.Recovered {
	p := panics.Try(run)
	if p != nil {
		t.panicked.Add(1)
		t.log.WithField("task", name).WithField("panic", p.String()).Error("Background task panicked.")
	}
	return p
}
