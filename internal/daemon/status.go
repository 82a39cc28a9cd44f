package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/version"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/revision"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// askLimit bounds asking one member for its status.
const askLimit = time.Second

// Status is what a daemon tells of itself and of what it knows.
type Status struct {
	Name             string             `json:"name"`
	Region           string             `json:"region"`
	AvailabilityZone string             `json:"availability_zone"`
	State            string             `json:"state"`
	Version          version.Info       `json:"version"`
	Configuration    revision.Report    `json:"configuration"`
	Findings         workspace.Findings `json:"findings"`
	Members          []MemberStatus     `json:"members"`
	Pools            []PoolStatus       `json:"pools"`
	// Owned are the summaries of the pools that this daemon schedules.
	Owned []pool.Summary `json:"owned"`
}

// MemberStatus is what is known of a member. Configuration is set where the
// member was asked; Error says why it did not answer.
type MemberStatus struct {
	Name             string           `json:"name"`
	Address          string           `json:"address"`
	Region           string           `json:"region"`
	AvailabilityZone string           `json:"availability_zone"`
	State            string           `json:"state"`
	Incarnation      uint64           `json:"incarnation"`
	Configuration    *revision.Report `json:"configuration,omitempty"`
	Error            string           `json:"error,omitempty"`
}

// PoolStatus names a pool's owner, as this daemon sees it; empty: none.
type PoolStatus struct {
	Pool    string `json:"pool"`
	Region  string `json:"region"`
	Owner   string `json:"owner"`
	Servers int    `json:"servers"`
}

// Ready implements admin.Daemon.
func (d *Daemon) Ready() error {
	if s := state(d.state.Load()); s != stateServing {
		return errors.Errorf("not ready: %s", s)
	}
	return nil
}

// Status implements admin.Daemon.
func (d *Daemon) Status(ctx context.Context, cluster bool) any {
	s := Status{
		Name: d.settings.Name, Region: d.settings.Region, AvailabilityZone: d.settings.AvailabilityZone,
		State: state(d.state.Load()).String(), Version: version.Get(),
		Configuration: d.syncer.Report(), Findings: d.findings(),
		Pools: d.poolStatus(), Owned: d.host.Summaries(),
	}
	for _, m := range d.views.Load().Members {
		s.Members = append(s.Members, MemberStatus{
			Name: m.Name, Address: m.Address, Region: m.Region, AvailabilityZone: m.AvailabilityZone,
			State: m.State.String(), Incarnation: m.Incarnation,
		})
	}
	if cluster {
		d.askMembers(ctx, s.Members)
	}
	return s
}

func (d *Daemon) poolStatus() []PoolStatus {
	snapshot := d.config.Load()
	if snapshot == nil {
		return nil
	}
	out := make([]PoolStatus, 0, len(snapshot.Pools))
	for name, p := range snapshot.Pools {
		owner, _ := d.host.Owner(name, p.Region)
		out = append(out, PoolStatus{Pool: name, Region: p.Region, Owner: owner, Servers: len(p.Servers)})
	}
	slices.SortFunc(out, func(a, b PoolStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}

// askMembers fills in which configuration each member has in force.
func (d *Daemon) askMembers(ctx context.Context, members []MemberStatus) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	var asked conc.WaitGroup
	defer asked.Wait()
	for i := range members {
		asked.Go(func() {
			r, err := d.askMember(ctx, members[i].Name)
			if err != nil {
				members[i].Error = err.Error()
				return
			}
			members[i].Configuration = &r
		})
	}
}

func (d *Daemon) askMember(ctx context.Context, name string) (revision.Report, error) {
	if name == d.settings.Name {
		return d.syncer.Report(), nil
	}
	answer, err := d.transport.Call(ctx, peer.Name(name), peer.TypeStatus, nil)
	if err != nil {
		return revision.Report{}, err
	}
	var r revision.Report
	return r, errors.Wrap(json.Unmarshal(answer, &r), "status")
}

// answerStatus tells a peer which configuration is in force here. The payload
// is JSON, since it is only ever shown to operators.
func (d *Daemon) answerStatus(context.Context, peer.Name, []byte) ([]byte, error) {
	return json.Marshal(d.syncer.Report())
}
