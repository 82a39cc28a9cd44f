// Package revisiontest runs many configuration syncers in one process, over
// an in-memory network with real encoding and the platform stand-in, for tests
// and for the measuring of capacity.
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

// Options set up a Cluster.
type Options struct {
	Members, Regions int
	Timing           revision.Timing
}

// Cluster is a set of members, all of which know each other.
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
	// Snapshot is the workspace snapshot in force at the member.
	Snapshot *workspace.CurrentSnapshot
	Syncer   *revision.Syncer
	// StoreUnavailable refuses the member's calls of the object API.
	StoreUnavailable atomic.Bool
	// WatchHangs lets the member's watches see no change.
	WatchHangs atomic.Bool

	cluster      *Cluster
	newest       atomic.Uint64
	firstVersion atomic.Uint64
	reverts      atomic.Int64
	stop         context.CancelFunc
	done         sync.WaitGroup
}

// New returns a cluster none of whose members runs yet.
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

// View returns the members' view.
func (c *Cluster) View() *member.View { return c.view.Load() }

// Start starts a member with nothing known.
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

// Stop stops a member; what it knew is lost.
func (m *Member) Stop() {
	m.stop()
	m.done.Wait()
	m.cluster.Network.Crash(peer.Name(m.Name))
}

// ActiveVersion is the version up to which changes are in force at the member, 0
// for none: the newest published, or that which the member is known to be
// complete through (a deletion from before its start is in no object).
func (m *Member) ActiveVersion() objectstore.Version {
	return max(objectstore.Version(m.newest.Load()), m.Syncer.Report().Through)
}

// FirstVersion is the first version that was in force since the member's start.
func (m *Member) FirstVersion() objectstore.Version {
	return objectstore.Version(m.firstVersion.Load())
}

// Reverts counts how often the version in force went down.
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

// pollInterval is between two looks at the members.
const pollInterval = 2 * time.Millisecond

// AwaitVersion waits until a version is in force at the members and returns how long
// that took.
func AwaitVersion(ctx context.Context, version objectstore.Version, members ...*Member) (time.Duration, error) {
	start := time.Now()
	err := Until(ctx, func() bool {
		return !slices.ContainsFunc(members, func(m *Member) bool { return m.ActiveVersion() < version })
	})
	return time.Since(start), errors.Wrapf(err, "version %d is not in force everywhere", version)
}

// Until waits until a condition holds, or ctx ends.
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

// Traffic sums up what the members sent since they started.
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

// faultyAPI is an object API that can be cut off.
type faultyAPI struct {
	objectstore.ObjectAPI
	unavailable, watchHangs *atomic.Bool
}

// List implements objectstore.ObjectAPI.
func (a *faultyAPI) List(ctx context.Context, kind objectstore.Kind, prefix string) (objectstore.List, error) {
	if a.unavailable.Load() {
		return objectstore.List{}, errors.Wrap(objectstore.ErrUnavailable, "cut off")
	}
	return a.ObjectAPI.List(ctx, kind, prefix)
}

// Watch implements objectstore.ObjectAPI.
func (a *faultyAPI) Watch(ctx context.Context, kinds []objectstore.Kind, after objectstore.Version, wait time.Duration) ([]objectstore.Event, objectstore.Version, error) {
	if a.unavailable.Load() {
		return nil, 0, errors.Wrap(objectstore.ErrUnavailable, "cut off")
	}
	if a.watchHangs.Load() {
		<-ctx.Done()
		return nil, 0, errors.Wrap(objectstore.ErrUnknownOutcome, "mute")
	}
	events, next, err := a.ObjectAPI.Watch(ctx, kinds, after, wait)
	if a.unavailable.Load() {
		return nil, 0, errors.Wrap(objectstore.ErrUnknownOutcome, "cut off")
	}
	return events, next, err
}
