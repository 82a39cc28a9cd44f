package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/admin"
	"github.com/lycheekeel/lycheekeel/internal/daemon"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
)

func init() { register(addStatus) }

// adminTimeout limits a call to a daemon's admin port.
const adminTimeout = 5 * time.Second

// addStatus adds the command status.
func addStatus(app *kingpin.Application, g *globals) {
	cmd := app.Command("status", "Show the state of a daemon, its members and its pools.")
	address := adminFlag(cmd)
	config := cmd.Flag("config", "Show each member's active configuration, as the member itself reports it.").Bool()
	cmd.Action(action(func() error {
		s, err := fetchStatus(g.ctx, *address, *config)
		if err != nil {
			return err
		}
		if g.output == outputJSON {
			return g.printJSON(s)
		}
		return g.printStatus(s, *config)
	}))
}

func adminFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("admin", "Address of a daemon's admin port (IP:port).").
		Envar("LYCHEEKEEL_ADMIN").Default("127.0.0.1:8081").String()
}

func fetchStatus(ctx context.Context, address string, cluster bool) (*daemon.Status, error) {
	path := admin.PathStatus
	if cluster {
		path += "?" + admin.QueryCluster + "=true"
	}
	body, err := adminCall(ctx, fasthttp.MethodGet, address, path)
	if err != nil {
		return nil, err
	}
	var s daemon.Status
	return &s, errors.Wrapf(json.Unmarshal(body, &s), "status of %s", address)
}

// adminCall makes one call to an admin port.
func adminCall(ctx context.Context, method, address, path string) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	deadline := time.Now().Add(adminTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1, Dial: dialAdmin}
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		return nil, withExit(ExitUnreachable, errors.Wrapf(err,
			"no answer from the admin port at %s; is the daemon running, and is --admin its admin address?", address))
	}
	if resp.StatusCode()/100 != 2 {
		return nil, errors.Errorf("%s %s at %s: status %d: %s", method, path, address, resp.StatusCode(), resp.Body())
	}
	return append([]byte(nil), resp.Body()...), nil
}

// dialAdmin connects to an admin port. Whatever else listens there may answer anything.
func dialAdmin(address string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, adminTimeout)
	if err != nil {
		return nil, err
	}
	return httpconn.CheckHeads(c), nil
}

func (g *globals) printStatus(s *daemon.Status, config bool) error {
	fmt.Fprintf(g.stdout, "%s  %s/%s  %s  configuration %d  findings %d\n\n",
		s.Name, s.Region, s.AvailabilityZone, s.State, s.Configuration.Version, len(s.Findings))
	header := []string{"member", "state", "region", "zone", "address"}
	if config {
		header = append(header, "configuration", "hash")
	}
	var rows [][]string
	for _, m := range s.Members {
		row := []string{m.Name, m.State, m.Region, m.AvailabilityZone, m.Address}
		if config {
			row = append(row, configColumns(m)...)
		}
		rows = append(rows, row)
	}
	if err := g.printTable(header, rows); err != nil {
		return err
	}
	fmt.Fprintln(g.stdout)
	rows = nil
	for _, p := range s.Pools {
		rows = append(rows, []string{p.Pool, p.Region, p.Owner, strconv.Itoa(p.Servers)})
	}
	if err := g.printTable([]string{"pool", "region", "owner", "servers"}, rows); err != nil {
		return err
	}
	for _, f := range s.Findings {
		fmt.Fprintln(g.stdout, f)
	}
	return nil
}

func configColumns(m daemon.MemberStatus) []string {
	if m.Configuration == nil {
		return []string{"unknown: " + m.Error, ""}
	}
	return []string{strconv.FormatUint(uint64(m.Configuration.Version), 10), m.Configuration.Hash}
}
