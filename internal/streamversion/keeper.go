package streamversion

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/streamversion/wire"
	"github.com/lycheekeel/lycheekeel/member"
)

const (
	// askTimeout bounds the wait for the keepers' answers. A keeper that lives answers within
	// a few milliseconds.
	askTimeout = 250 * time.Millisecond
	// maxProofAge is the largest age of the servers' list at which a refusal is final.
	maxProofAge = 2 * time.Second
	// proofTimeout bounds the wait for a proof of the servers' list.
	proofTimeout = 1500 * time.Millisecond
	// maxKeep bounds how long a record is kept, whatever a peer asks for.
	maxKeep = 30 * time.Minute
)

// Config configures a Keeper.
type Config struct {
	Region  string
	History *History
	// ProofAge returns the age of the newest proof of the servers' list; false: none.
	ProofAge func() (time.Duration, bool)
	// Prove waits until ProofAge is that of a proof from after the call, or ctx ends; nil: none
	// comes.
	Prove   func(ctx context.Context)
	Metrics *metrics.Registry
	// Archive is read where no daemon has been there for long; nil: it is never known.
	Archive Archive
	// Records is where records outlive all daemons; nil: nowhere.
	Records RecordArchive
	// Now is the clock; nil: time.Now.
	Now func() time.Time
}

// Keeper records the versions of streams, and finds them. It is safe for concurrent use.
type Keeper struct {
	cfg      Config
	log      *logrus.Entry
	table    *table
	counters counters

	archiveMu sync.Mutex // held during a read of the archive
	archived  map[string]archived

	writer recordWriter
	reader *recordReader // nil: there is no archive of records

	// The fields below are set by Join.
	transport peer.Transport
	ranking   *ranking
	joined    <-chan struct{}

	handover handover
}

type counters struct {
	recorded, received, sendFailed, asked, unanswered *expvar.Int
	handedOn, handOnFailed, receivedAgain             *expvar.Int
	archived, archiveFailed, readFromArchive          *expvar.Int
	results                                           map[verdict]*expvar.Int
}

// New returns a keeper that knows only its own streams until Join.
func New(cfg Config) *Keeper {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	c := func(name string) *expvar.Int { return cfg.Metrics.Counter("stream_versions", name) }
	k := &Keeper{cfg: cfg, log: logs.For("streams"), table: newTable(), archived: map[string]archived{}, handover: handover{round: make(chan struct{}, 1)}}
	k.counters = counters{
		recorded: c("recorded"), received: c("received"), sendFailed: c("send_failed"), asked: c("keepers_asked"), unanswered: c("keepers_unanswered"),
		handedOn: c("handed_on"), handOnFailed: c("handed_on_failed"), receivedAgain: c("received_again"),
		archived: c("archived"), archiveFailed: c("archive_failed"), readFromArchive: c("read_from_archive"),
		results: map[verdict]*expvar.Int{},
	}
	for _, v := range verdicts {
		k.counters.results[v] = c("found_" + v.String())
	}
	if cfg.Records != nil {
		k.reader = newRecordReader(cfg.Records, cfg.Now, k.log)
	}
	cfg.Metrics.Gauge("stream_versions", "records", func() any { return k.table.count() })
	return k
}

// Join lets the keeper talk to the members of a view. joined is closed when the view is
// usable. Join must be called before the transport starts.
func (k *Keeper) Join(t peer.Transport, view *member.CurrentView, joined <-chan struct{}) {
	k.transport, k.joined = t, joined
	k.ranking = &ranking{region: k.cfg.Region, view: view}
	t.Handle(peer.TypeStreamBegan, k.handleBegan)
	t.Handle(peer.TypeStreamQuestion, k.handleQuestion)
	t.Handle(peer.TypeStreamHandover, k.handleHandover)
	t.OnDown(func(name peer.Name) { k.handover.forget(string(name)) }) // messages in flight were lost
}

// Record records that a version began a stream, here and at the stream's keepers. It is
// called before the first event is passed on, and does not wait for the keepers.
func (k *Keeper) Record(s Stream, version string, keepFor time.Duration) {
	id := s.key()
	k.table.put(k.cfg.Now(), id, version, keepFor)
	k.counters.recorded.Add(1)
	if k.transport == nil {
		k.collect(s.Service, id, version, keepFor)
		return
	}
	told := k.ranking.group(groupOf(id)).told
	m := began(id, version, keepFor)
	if k.reader != nil {
		go k.handToArchive(told, s.Service, m, keepFor)
	}
	payload, err := proto.Marshal(m)
	if err != nil {
		k.log.WithError(err).Error("Stream's version can't be encoded.")
		return
	}
	for _, to := range told {
		if k.transport.Send(peer.Name(to.name), peer.TypeStreamBegan, payload) != nil {
			k.counters.sendFailed.Add(1)
			k.handover.forgetGroup(to.name, groupOf(id))
		}
	}
}

// began returns the message that tells a record.
func began(id key, version string, keepFor time.Duration) *wire.Began {
	return &wire.Began{Stream: uint64(id), Version: version, KeepMs: uint32(min(keepFor, maxKeep).Milliseconds())}
}

// archives is the answer of a keeper that archives a record.
var archives = []byte{1}

func (k *Keeper) handleBegan(_ context.Context, _ peer.Name, payload []byte) ([]byte, error) {
	var m wire.Began
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, errors.Wrap(err, "decode a stream's version")
	}
	k.counters.received.Add(1)
	k.keep(&m)
	if !m.GetArchive() || k.reader == nil {
		return nil, nil
	}
	k.collect(m.GetService(), key(m.GetStream()), m.GetVersion(), time.Duration(m.GetKeepMs())*time.Millisecond)
	return archives, nil
}

// keep keeps a record that a peer told, and reports whether it was new.
func (k *Keeper) keep(m *wire.Began) bool {
	keepFor := min(time.Duration(m.GetKeepMs())*time.Millisecond, maxKeep)
	return k.table.put(k.cfg.Now(), key(m.GetStream()), m.GetVersion(), keepFor)
}

func (k *Keeper) handleQuestion(_ context.Context, _ peer.Name, payload []byte) ([]byte, error) {
	var m wire.Question
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, errors.Wrap(err, "decode a question for a stream's version")
	}
	e := k.ownEvidence(key(m.GetStream()), m.GetService())
	return proto.Marshal(&wire.Answer{
		Known: e.known, Version: e.version, Versions: e.versions, ObservedMs: uint64(e.observedFor.Milliseconds()),
		Proved: e.proved, ProofMs: uint64((e.proofAge + time.Millisecond - 1).Milliseconds()), // never younger than it is
	})
}

// ownEvidence returns what this daemon knows of a stream.
func (k *Keeper) ownEvidence(id key, service string) evidence {
	var e evidence
	e.proofAge, e.proved = k.cfg.ProofAge() // before the versions, which are then as of this proof at least
	now := k.cfg.Now()
	e.observedFor, e.versions = k.cfg.History.ObservedFor(now), k.cfg.History.Versions(now, service)
	e.version, e.known = k.known(now, id)
	return e
}
