// Command lycheekeeld is the daemon that runs on every VM of the system.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lycheekeel/lycheekeel/internal/daemon"
	"github.com/lycheekeel/lycheekeel/internal/gateway"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/version"
)

// Exit codes.
const (
	exitFailure  = 1 // a component failed, or requests had to be cut off
	exitSettings = 3 // the settings are invalid
)

func main() {
	app := kingpin.New("lycheekeeld", "The lycheekeel daemon. It stops gracefully on SIGTERM and SIGINT.")
	app.HelpFlag.Short('h')
	app.Version(version.Get().Version)
	file := app.Flag("settings", "Settings file (JSON).").Required().PlaceHolder("FILE").ExistingFile()
	checkOnly := app.Flag("check-settings", "Only check the settings file.").Bool()
	app.Command("serve", "Schedule requests to model engines that implement the system's own interface.").Default()
	gatewayCmd := app.Command("gateway", "Forward requests to the backend servers of the platform's store.")

	prepare := prepareServe
	if kingpin.MustParse(app.Parse(os.Args[1:])) == gatewayCmd.FullCommand() {
		prepare = prepareGateway
	}
	start, err := prepare(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if *checkOnly {
		fmt.Println("settings are valid")
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "lycheekeeld:", err)
		os.Exit(exitFailure)
	}
}

// startFunc runs a daemon with settings that were checked.
type startFunc func(ctx context.Context) error

func prepareServe(file string) (startFunc, error) {
	s, err := daemon.LoadSettings(file)
	return func(ctx context.Context) error { return runServe(ctx, s) }, err
}

func prepareGateway(file string) (startFunc, error) {
	s, err := gateway.LoadSettings(file)
	return func(ctx context.Context) error { return runGateway(ctx, s) }, err
}

func runServe(ctx context.Context, s daemon.Settings) error {
	if err := logs.Configure(os.Stderr, s.Log.Level, s.Log.JSON); err != nil {
		return err
	}
	d, err := daemon.New(s)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
