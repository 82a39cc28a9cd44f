package cli

import (
	"encoding/json"
	"net"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	platform "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	service "github.com/lycheekeel/lycheekeel/internal/standin/service"
)

func init() { register(addStandin) }

// addStandin adds the commands that run stand-ins.
func addStandin(app *kingpin.Application, g *globals) {
	cmd := app.Command("standin", "Run a small stand-in for a part of the platform, for tests and trials.")
	addStandinPlatform(cmd, g)
	addStandinEngine(cmd, g)
	addStandinService(cmd, g)
}

func listenFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("listen", "Where to listen (IP:port).").Required().String()
}

func listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	return ln, errors.Wrap(err, "listen")
}

func addStandinPlatform(parent *kingpin.CmdClause, g *globals) {
	cmd := parent.Command("platform", "Object API, VM list and weight store; faults at POST /standin/faults.")
	address := listenFlag(cmd)
	var o platform.Options
	cmd.Flag("loads-per-second", "Rate of the weight store; 0 for the default.").Float64Var(&o.LoadsPerSecond)
	cmd.Flag("history", "How many changes a watch can look back; 0 for the default.").IntVar(&o.History)
	cmd.Action(action(func() error {
		ln, err := listen(*address)
		if err != nil {
			return err
		}
		return platform.New(o).Serve(g.ctx, ln)
	}))
}

func addStandinEngine(parent *kingpin.CmdClause, g *globals) {
	cmd := parent.Command("engine", "A model engine; its run log is at GET /standin/runs, faults at POST /standin/faults.")
	address := listenFlag(cmd)
	options := cmd.Flag("options", "Further options as JSON, by the names of the engine's options.").Default("{}").String()
	var o engine.Options
	cmd.Flag("slots", "Requests that it batches; 0 for the default.").IntVar(&o.Slots)
	cmd.Flag("step-ms", "Fixed time of a step in milliseconds; 0 for the default.").Float64Var(&o.StepMs)
	cmd.Flag("prefill-per-second", "Prefill rate in tokens; 0 for the default.").Float64Var(&o.PrefillPerSecond)
	f := &o.Faults
	cmd.Flag("crash-text", "Crash on a prompt with this text.").StringVar(&f.CrashText)
	cmd.Flag("speed", "Speed as a share of normal; 0 for normal.").Float64Var(&f.Speed)
	cmd.Flag("answer-delay-ms", "Delay of each answer in milliseconds.").Float64Var(&f.AnswerDelayMs)
	cmd.Flag("report-lag-ms", "Age of load reports and cache events in milliseconds.").Float64Var(&f.ReportLagMs)
	cmd.Flag("drop-events", "Lose every nth cache event.").IntVar(&f.DropEvents)
	cmd.Flag("ignore-fencing", "Obey orders with old fencing tokens.").BoolVar(&f.IgnoreFencing)
	silent := cmd.Flag("silent", "Connections that are silent from the start: existing or all.").Enum("existing", "all")
	cmd.Action(action(func() error {
		if err := json.Unmarshal([]byte(*options), &o); err != nil {
			return withExit(ExitUsage, errors.Wrap(err, "--options"))
		}
		if *silent != "" {
			f.Silent = engine.Silence(*silent)
		}
		ln, err := listen(*address)
		if err != nil {
			return err
		}
		return engine.Serve(g.ctx, ln, o)
	}))
}

func addStandinService(parent *kingpin.CmdClause, g *globals) {
	cmd := parent.Command("service", "A plain service; faults at POST /standin/faults.")
	address := listenFlag(cmd)
	var o service.Options
	cmd.Flag("delay-ms", "Delay of each answer in milliseconds.").Float64Var(&o.Faults.DelayMs)
	cmd.Action(action(func() error {
		ln, err := listen(*address)
		if err != nil {
			return err
		}
		return service.Serve(g.ctx, ln, o)
	}))
}
