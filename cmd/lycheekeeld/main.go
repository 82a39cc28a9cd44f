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
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/version"
)

// Exit codes.
const (
	exitFailure  = 1 // a part failed, or requests had to be cut off
	exitSettings = 3 // the settings have findings
)

func main() {
	app := kingpin.New("lycheekeeld", "The lycheekeel daemon. It stops gracefully on SIGTERM and SIGINT.")
	app.HelpFlag.Short('h')
	app.Version(version.Get().Version)
	file := app.Flag("settings", "Settings file (JSON).").Required().PlaceHolder("FILE").ExistingFile()
	checkOnly := app.Flag("check-settings", "Only check the settings file.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	s, err := daemon.LoadSettings(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if *checkOnly {
		fmt.Println("settings are good")
		return
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "lycheekeeld:", err)
		os.Exit(exitFailure)
	}
}

func run(s daemon.Settings) error {
	if err := logs.Configure(os.Stderr, s.Log.Level, s.Log.JSON); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := daemon.New(s)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
