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

// addStandin adds the commands that run stand-ins for parts of the platform.
func addStandin(app *kingpin.Application, g *globals) {
	cmd := app.Command("standin", "Run a small stand-in for a part of the platform, for tests and demonstrations.")
	addStandinPlatform(cmd, g)
	addStandinEngine(cmd, g)
	addStandinService(cmd, g)
}

func listenFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("listen", "Address to listen on (IP:port).").Required().String()
}

func listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	return ln, errors.Wrap(err, "listen")
}

func addStandinPlatform(parent *kingpin.CmdClause, g *globals) {
	cmd := parent.Command("platform", "Object API, VM list and weight store. Set faults with POST /standin/faults.")
	address := listenFlag(cmd)
	var o platform.Options
	cmd.Flag("loads-per-second", "Rate limit of the weight store, in model loads per second; 0 for the default.").Float64Var(&o.LoadsPerSecond)
	cmd.Flag("history", "Number of past changes that a watch can resume from; 0 for the default.").IntVar(&o.History)
	cmd.Action(action(func() error {
		ln, err := listen(*address)
		if err != nil {
			return err
		}
		return platform.New(o).Serve(g.ctx, ln)
	}))
}

func addStandinEngine(parent *kingpin.CmdClause, g *globals) {
	cmd := parent.Command("engine", "A model engine. Get its run log with GET /standin/runs and set faults with POST /standin/faults.")
	address := listenFlag(cmd)
	options := cmd.Flag("options", "Further options as a JSON object, with the field names of the engine's options.").Default("{}").String()
	var o engine.Options
	cmd.Flag("slots", "Number of requests in a batch; 0 for the default.").IntVar(&o.Slots)
	cmd.Flag("step-ms", "Fixed part of the time of a step, in milliseconds; 0 for the default.").Float64Var(&o.StepMs)
	cmd.Flag("prefill-per-second", "Prefill rate in tokens per second; 0 for the default.").Float64Var(&o.PrefillPerSecond)
	f := &o.Faults
	cmd.Flag("crash-text", "Crash on a prompt that contains this text.").StringVar(&f.CrashText)
	cmd.Flag("speed", "Speed relative to normal, such as 0.5; 0 for normal.").Float64Var(&f.Speed)
	cmd.Flag("answer-delay-ms", "Delay of each answer in milliseconds.").Float64Var(&f.AnswerDelayMs)
	cmd.Flag("report-lag-ms", "Age of load reports and cache events in milliseconds.").Float64Var(&f.ReportLagMs)
	cmd.Flag("drop-events", "Drop every nth cache event.").IntVar(&f.DropEvents)
	cmd.Flag("ignore-fencing", "Accept orders with outdated fencing tokens.").BoolVar(&f.IgnoreFencing)
	silent := cmd.Flag("silent", "Connections on which the engine sends nothing from the start: existing or all.").Enum("existing", "all")
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
	cmd := parent.Command("service", "A plain HTTP service. Set faults with POST /standin/faults.")
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
