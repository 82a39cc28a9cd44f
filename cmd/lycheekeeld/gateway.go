package main

import (
	"context"
	"os"

	"github.com/lycheekeel/lycheekeel/internal/gateway"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/platform"
)

// runGateway runs the daemon in front of the platform's backend servers.
func runGateway(ctx context.Context, s gateway.Settings) error {
	if err := logs.Configure(os.Stdout, s.LogLevel, true); err != nil {
		return err
	}
	m := metrics.New()
	g, err := gateway.New(s, platform.New(s.Store, m), m)
	if err != nil {
		return err
	}
	return g.Run(ctx)
}
