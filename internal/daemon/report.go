package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/revision"
)

// reportTimeout limits how long members may take to send their reports.
const reportTimeout = time.Second

// memberReport is a daemon's answer to a status request from a peer, for
// operators and for the placement controller. It is encoded as JSON, since it is
// requested rarely and its fields are meant to be read by people.
type memberReport struct {
	Configuration revision.Report `json:"configuration"`
	Owned         []pool.Summary  `json:"owned"`
}

// reportResult is a member's report, or the error in fetching it.
type reportResult struct {
	report memberReport
	err    error
}

func (d *Daemon) ownReport() memberReport {
	return memberReport{Configuration: d.syncer.Report(), Owned: d.host.Summaries()}
}

// handleStatus serves a peer's request for this daemon's report.
func (d *Daemon) handleStatus(context.Context, peer.Name, []byte) ([]byte, error) {
	return json.Marshal(d.ownReport())
}

// fetchReports fetches the reports of the named members concurrently and returns
// them in the order of names.
func (d *Daemon) fetchReports(ctx context.Context, names []string) []reportResult {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	out := make([]reportResult, len(names))
	var wg conc.WaitGroup
	for i, name := range names {
		wg.Go(func() { out[i].report, out[i].err = d.fetchReport(ctx, name) })
	}
	wg.Wait()
	return out
}

func (d *Daemon) fetchReport(ctx context.Context, name string) (memberReport, error) {
	if name == d.settings.Name {
		return d.ownReport(), nil
	}
	var r memberReport
	answer, err := d.transport.Call(ctx, peer.Name(name), peer.TypeStatus, nil)
	if err != nil {
		return r, err
	}
	return r, errors.Wrapf(json.Unmarshal(answer, &r), "report of %s", name)
}
