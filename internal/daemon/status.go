package daemon

import (
	"cmp"
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/version"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/revision"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Status is a daemon's report of its own state, the configuration, the members
// and the pools.
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
	Owned []OwnedPool `json:"owned"`
}

// OwnedPool is the state of a pool, as reported by its owner.
type OwnedPool struct {
	Pool string `json:"pool"`
	// Waiting and ExpectedWaitMs are indexed by tier, the most urgent first.
	Waiting        []int         `json:"waiting"`
	ExpectedWaitMs []int64       `json:"expected_wait_ms"`
	Running        int           `json:"running"`
	Free           int           `json:"free"`
	Servers        []OwnedServer `json:"servers"`
}

// OwnedServer is the state of a backend server in an OwnedPool.
type OwnedServer struct {
	Name      string `json:"name"`
	Health    string `json:"health"`
	Running   int    `json:"running"`
	Limit     int    `json:"limit"`
	Straggler bool   `json:"straggler"`
}

// MemberStatus is the state of a member, as this daemon sees it. Configuration
// is set if the member was queried and answered; Error says why it did not
// answer.
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

// PoolStatus names the owner of a pool, as this daemon sees it. Owner is empty
// if the pool has none.
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
		Pools: d.poolStatus(), Owned: ownedPools(d.host.Summaries()),
	}
	for _, m := range d.view.Load().Members {
		s.Members = append(s.Members, MemberStatus{
			Name: m.Name, Address: m.Address, Region: m.Region, AvailabilityZone: m.AvailabilityZone,
			State: m.State.String(), Incarnation: m.Incarnation,
		})
	}
	if cluster {
		d.fetchConfigurations(ctx, s.Members)
	}
	return s
}

func (d *Daemon) poolStatus() []PoolStatus {
	snapshot := d.snapshot.Load()
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

// fetchConfigurations sets the active configuration of each member, as reported
// by the member itself.
func (d *Daemon) fetchConfigurations(ctx context.Context, members []MemberStatus) {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	for i, r := range d.fetchReports(ctx, names) {
		if r.err != nil {
			members[i].Error = r.err.Error()
			continue
		}
		members[i].Configuration = &r.report.Configuration
	}
}

func ownedPools(summaries []pool.Summary) []OwnedPool {
	out := make([]OwnedPool, 0, len(summaries))
	for _, s := range summaries {
		p := OwnedPool{Pool: s.Pool, Waiting: s.Waiting[:], Running: s.Running, Free: s.Free}
		for _, d := range s.ExpectedWait {
			p.ExpectedWaitMs = append(p.ExpectedWaitMs, d.Milliseconds())
		}
		for _, v := range s.Servers {
			p.Servers = append(p.Servers, OwnedServer{
				Name: v.Name, Health: healthName(v.Health), Running: v.Running, Limit: v.Limit, Straggler: v.Straggler,
			})
		}
		out = append(out, p)
	}
	return out
}

func healthName(h pool.Health) string {
	names := [...]string{"up", "warming", "leaving", "silent", "gone"}
	if int(h) < len(names) {
		return names[h]
	}
	return "unknown"
}
