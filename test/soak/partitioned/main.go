// Command partitioned is the gateway with switches that partition it from all backend servers
// and from other daemons. Its arguments are the settings file and the switches' files.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/lycheekeel/lycheekeel/internal/gateway"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/platform"
	"github.com/lycheekeel/lycheekeel/test/soak/partition"
)

func main() {
	if err := run(os.Args[1], os.Args[2], os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(settingsFile, serversSwitch, peersSwitch string) error {
	s, err := gateway.LoadSettings(settingsFile)
	if err != nil {
		return err
	}
	if err := logs.Configure(os.Stdout, s.LogLevel, true); err != nil {
		return err
	}
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	m := metrics.New()
	p := platform.New(s.Store, m)
	p.DialServer = partition.NewDialer(serversSwitch).Dial
	p.DialPeer = partition.NewDialer(peersSwitch).Dial
	g, err := gateway.New(s, p, m)
	if err != nil {
		return err
	}
	return g.Run(ctx)
}
