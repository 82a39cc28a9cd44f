package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/gateway"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/platform"
)

// logCloseTimeout is how long the end of the process waits for the log's reader.
const logCloseTimeout = 200 * time.Millisecond

// runGateway runs the daemon in front of the platform's backend servers.
func runGateway(ctx context.Context, s gateway.Settings) error {
	out := logs.NewAsync(os.Stdout)
	defer out.Close(logCloseTimeout)
	if err := logs.Configure(out, s.LogLevel, true); err != nil {
		return err
	}
	// Settings are read at the start alone, and the defaults of what changes
	// in them (the seeds) are only needed then; without this, SIGHUP would end
	// the process.
	signal.Ignore(syscall.SIGHUP)
	m := metrics.New()
	g, err := gateway.New(s, platform.New(s.Store, m), m)
	if err != nil {
		return err
	}
	return g.Run(ctx)
}
