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

// logCloseTimeout limits how long the exit waits for the log to be written.
const logCloseTimeout = 200 * time.Millisecond

// runGateway runs the gateway, which forwards requests to the platform's backend
// servers.
func runGateway(ctx context.Context, s gateway.Settings) error {
	out := logs.NewAsync(os.Stdout)
	defer out.Close(logCloseTimeout)
	if err := logs.Configure(out, s.LogLevel, true); err != nil {
		return err
	}
	// If it were not ignored, SIGHUP would end the process. There is nothing to
	// reload: settings are read only at the start, and those that may change later
	// (the seeds) are only needed then.
	signal.Ignore(syscall.SIGHUP)
	m := metrics.New()
	g, err := gateway.New(s, platform.New(s.Store, m), m)
	if err != nil {
		return err
	}
	return g.Run(ctx)
}
