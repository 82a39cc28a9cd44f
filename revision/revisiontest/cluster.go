// Package revisiontest runs many configuration syncers in one process, over an
// in-memory network with real encoding and the platform stand-in. It serves tests
// and capacity measurements.
package revisiontest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/peer/peertest"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/revision"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Options configure a Cluster.
type Options struct {
	Members, Regions int
	Timing           revision.Timing
}

// Cluster is a set of members that all know each other.
type Cluster struct {
	Store   *standin.Standin
	Network *peertest.Network
	Members []*Member

	view   member.CurrentView
	timing revision.Timing
}

// Member is one member of a Cluster.
type Member struct {
	Name string
	// Snapshot holds the member's active workspace snapshot.
	Snapshot *workspace.CurrentSnapshot
	Syncer   *revision.Syncer
	// StoreUnavailable makes the member's calls to the object API fail.
	StoreUnavailable atomic.Bool
	// WatchHangs makes the member's watches hang until they time out.
	WatchHangs atomic.Bool

	cluster      *Cluster
	newest       atomic.Uint64
	firstVersion atomic.Uint64
	reverts      atomic.Int64
	stop         context.CancelFunc
	done         sync.WaitGroup
}

// New returns a cluster whose members are not running yet.
func New(o Options) *Cluster {
	c := &Cluster{Store: standin.New(standin.Options{}), Network: peertest.NewNetwork(), timing: o.Timing}
	var records []member.Member
	for i := range o.Members {
		name := fmt.Sprintf("member-%03d", i)
		c.Members = append(c.Members, &Member{Name: name, cluster: c})
		records = append(records, member.Member{Name: name, Region: fmt.Sprintf("region-%d", i%max(1, o.Regions))})
	}
	c.view.Store(member.NewView("", records))
	return c
}

// View returns the view that all members share.
func (c *Cluster) View() *member.View { return c.view.Load() }

// Start starts a member with an empty state.
func (m *Member) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.Snapshot = &workspace.CurrentSnapshot{}
	m.newest.Store(0)
	m.firstVersion.Store(0)
	publisher := revision.NewPublisher(m.Snapshot, nil)
	options := publisher.Attach(revision.Options{
		API:       &faultyAPI{ObjectAPI: m.cluster.Store, unavailable: &m.StoreUnavailable, watchHangs: &m.WatchHangs},
		Transport: m.cluster.Network.Node(peer.Name(m.Name)),
		View:      m.cluster.view.Load,
		Timing:    m.cluster.timing,
	})
	options.Publish = func(objects []objectstore.Object, newest objectstore.Version) {
		publisher.Publish(objects, newest)
		m.firstVersion.CompareAndSwap(0, uint64(newest))
		if m.newest.Swap(uint64(newest)) > uint64(newest) {
			m.reverts.Add(1)
		}
	}
	m.Syncer = revision.New(options)
	m.done.Go(func() { m.Syncer.Run(ctx) })
}

// Stop stops a member and discards its state.
func (m *Member) Stop() {
	m.stop()
	m.done.Wait()
	m.cluster.Network.Crash(peer.Name(m.Name))
}

// ActiveVersion returns the version up to which changes are active at the member,
// 0 for none: the newest published version, or the member's floor if that is
// larger. (No object carries the version of a deletion from before the member's
// start.)
func (m *Member) ActiveVersion() objectstore.Version {
	return max(objectstore.Version(m.newest.Load()), m.Syncer.Report().Through)
}

// FirstVersion returns the first active version since the member's start.
func (m *Member) FirstVersion() objectstore.Version {
	return objectstore.Version(m.firstVersion.Load())
}

// Reverts returns how often the active version decreased.
func (m *Member) Reverts() int64 { return m.reverts.Load() }

// Start starts every member.
func (c *Cluster) Start() {
	for _, m := range c.Members {
		m.Start()
	}
}

// Stop stops every member.
func (c *Cluster) Stop() {
	for _, m := range c.Members {
		m.stop()
	}
	for _, m := range c.Members {
		m.done.Wait()
	}
	c.Network.Close()
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 2 * time.Millisecond

// AwaitVersion waits until a version is active at the members and returns how
// long that took.
func AwaitVersion(ctx context.Context, version objectstore.Version, members ...*Member) (time.Duration, error) {
	start := time.Now()
	err := Until(ctx, func() bool {
		return !slices.ContainsFunc(members, func(m *Member) bool { return m.ActiveVersion() < version })
	})
	return time.Since(start), errors.Wrapf(err, "version %d is not active on all members", version)
}

// Until waits until a condition holds, or returns the error of ctx.
func Until(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Traffic sums the members' transport counters.
func (c *Cluster) Traffic() peertest.Counters {
	var sum peertest.Counters
	for _, m := range c.Members {
		n := c.Network.Node(peer.Name(m.Name)).Counters()
		sum.MessagesOut += n.MessagesOut
		sum.MessagesIn += n.MessagesIn
		sum.BytesOut += n.BytesOut
		sum.BytesIn += n.BytesIn
	}
	return sum
}

// faultyAPI is an object API with injected failures.
type faultyAPI struct {
	objectstore.ObjectAPI
	unavailable, watchHangs *atomic.Bool
}

// List implements objectstore.ObjectAPI.
func (a *faultyAPI) List(ctx context.Context, kind objectstore.Kind, prefix string) (objectstore.List, error) {
	if a.unavailable.Load() {
		return objectstore.List{}, errors.Wrap(objectstore.ErrUnavailable, "store unavailable to this member")
	}
	return a.ObjectAPI.List(ctx, kind, prefix)
}

// Watch implements objectstore.ObjectAPI.
func (a *faultyAPI) Watch(ctx context.Context, kinds []objectstore.Kind, after objectstore.Version, wait time.Duration) ([]objectstore.Event, objectstore.Version, error) {
	if a.unavailable.Load() {
		return nil, 0, errors.Wrap(objectstore.ErrUnavailable, "store unavailable to this member")
	}
	if a.watchHangs.Load() {
		<-ctx.Done()
		return nil, 0, errors.Wrap(objectstore.ErrUnknownOutcome, "watch hangs")
	}
	events, next, err := a.ObjectAPI.Watch(ctx, kinds, after, wait)
	if a.unavailable.Load() {
		return nil, 0, errors.Wrap(objectstore.ErrUnknownOutcome, "store unavailable to this member")
	}
	return events, next, err
}
