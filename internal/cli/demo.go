package cli

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lycheekeel/lycheekeel/internal/demo"
)

func init() { register(addDemo) }

// addDemo adds the command demo.
func addDemo(app *kingpin.Application, g *globals) {
	cmd := app.Command("demo", "Run a small but complete system in this process, to try it out.")
	var o demo.Options
	cmd.Flag("listen", "Address for callers (IP:port).").Default("127.0.0.1:8080").StringVar(&o.Listen)
	cmd.Flag("admin", "Address of the admin port (IP:port).").Default("127.0.0.1:8081").StringVar(&o.Admin)
	asJSON := cmd.Flag("json", "When ready, print addresses and keys as one line of JSON.").Bool()
	cmd.Action(action(func() error {
		return demo.Run(g.ctx, o, func(info demo.Info) { g.printDemo(info, *asJSON) })
	}))
}

// printDemo prints the addresses and keys of a demonstration and an example call.
func (g *globals) printDemo(info demo.Info, asJSON bool) {
	if asJSON {
		_ = json.NewEncoder(g.stdout).Encode(info)
		return
	}
	names := make([]string, 0, len(info.Keys))
	for name := range info.Keys {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintf(g.stdout, "Ready. Callers: http://%s  admin: http://%s\n\n", info.Listen, info.Admin)
	fmt.Fprintln(g.stdout, "Workspaces and their keys:")
	for _, name := range names {
		fmt.Fprintf(g.stdout, "  %-24s %s\n", name, info.Keys[name])
	}
	const workspace, model = "head-office", "handover-writer"
	fmt.Fprintf(g.stdout, "\nTry:\n  curl -s http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":\"echo:hello\"}]}'\n\n"+
		"Stop with Ctrl-C.\n", info.Listen, info.Keys[workspace], model)
}
