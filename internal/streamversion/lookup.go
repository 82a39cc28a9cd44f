package streamversion

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/streamversion/wire"
)

// Errors of Lookup, for use with errors.Is.
var (
	// ErrUnknown: nobody knows the stream, and servers of several versions may have begun it.
	ErrUnknown = errors.New("which version began the stream is not known")
	// ErrNoAnswer is like ErrUnknown, but daemons that may know have not answered.
	ErrNoAnswer = errors.New("daemons that may know which version began the stream did not answer")
)

// Lookup returns the version that began a stream, which is no older than life.
func (k *Keeper) Lookup(ctx context.Context, s Stream, life time.Duration) (string, error) {
	l := &lookup{stream: s, started: k.cfg.Now()}
	k.takeOwn(l)
	version, v, err := k.find(ctx, l, life)
	k.counters.results[v].Add(1)
	k.logLookup(l, version, v)
	return version, err
}

// lookup is what one lookup has found out.
type lookup struct {
	stream     Stream
	started    time.Time
	own        evidence
	answers    []answer
	unanswered []string // keepers that did not answer
}

// answer is a keeper's evidence.
type answer struct {
	of string
	evidence
}

// all returns all evidence.
func (l *lookup) all() []evidence {
	all := []evidence{l.own}
	for _, a := range l.answers {
		all = append(all, a.evidence)
	}
	return all
}

// takeOwn takes this daemon's own evidence as of now.
func (k *Keeper) takeOwn(l *lookup) {
	earliest := k.cfg.Now()
	l.own = k.ownEvidence(l.stream.key(), l.stream.Service)
	l.own.observe(earliest.Sub(l.started), k.cfg.Now().Sub(l.started))
}

// find returns the version that began a stream and how it is known, or why it is not.
func (k *Keeper) find(ctx context.Context, l *lookup, life time.Duration) (string, verdict, error) {
	if l.own.known && l.own.version != ambiguous {
		return l.own.version, recorded, nil
	}
	k.ask(ctx, l)
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	version, v := decide(l.all(), life)
	if v == unproved && k.cfg.Prove != nil {
		k.cfg.Prove(ctx)
		k.takeOwn(l)
		version, v = decide(l.all(), life)
	}
	if v == soleSeen && (k.cfg.History.RestoredWithin(k.cfg.Now(), life) || !k.archiveHasOnly(ctx, l.stream.Service, version)) {
		v = unproved
	}
	if v > unproved {
		return version, v, nil
	}
	archived, found, read := k.findArchived(ctx, l)
	switch {
	case found:
		return archived, recorded, nil
	case v == unknown && read && len(l.unanswered) == 0 && l.own.proved && l.own.proofAge <= maxProofAge:
		return "", unknown, ErrUnknown
	default:
		return "", v, ErrNoAnswer
	}
}

// ask asks the stream's keepers, until one has a record of the stream or all have answered.
func (k *Keeper) ask(ctx context.Context, l *lookup) {
	if k.transport == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	select {
	case <-k.joined:
	case <-ctx.Done():
		l.unanswered = []string{"all"} // the other daemons are not known yet
		return
	}
	id := l.stream.key()
	names := k.ranking.group(groupOf(id)).asked
	payload, err := proto.Marshal(&wire.Question{Stream: uint64(id), Service: l.stream.Service})
	if err != nil {
		k.log.WithError(err).Error("Question for a stream's version can't be encoded.")
		l.unanswered = names
		return
	}
	type result struct {
		of       string
		evidence *evidence
	}
	results := make(chan result, len(names))
	for _, name := range names {
		go func() { results <- result{name, k.askOne(ctx, name, payload, l.started)} }()
	}
	for range names {
		r := <-results
		if r.evidence == nil {
			l.unanswered = append(l.unanswered, r.of)
			continue
		}
		if l.answers = append(l.answers, answer{r.of, *r.evidence}); r.evidence.known {
			return
		}
	}
}

// askOne returns one keeper's answer to a question on a stream that was taken up at a time; nil
// if there is none.
func (k *Keeper) askOne(ctx context.Context, name string, payload []byte, takenUp time.Time) *evidence {
	k.counters.asked.Add(1)
	sent := k.cfg.Now()
	b, err := k.transport.Call(ctx, peer.Name(name), peer.TypeStreamQuestion, payload)
	var m wire.Answer
	if err == nil {
		err = proto.Unmarshal(b, &m)
	}
	if err != nil {
		if ctx.Err() == nil {
			k.log.WithField("of", name).WithError(err).Debug("Keeper did not answer.")
		}
		k.counters.unanswered.Add(1)
		return nil
	}
	e := &evidence{
		version: m.GetVersion(), known: m.GetKnown(), versions: m.GetVersions(),
		observedFor: time.Duration(m.GetObservedMs()) * time.Millisecond,
		proofAge:    time.Duration(m.GetProofMs()) * time.Millisecond, proved: m.GetProved(),
	}
	e.observe(sent.Sub(takenUp), k.cfg.Now().Sub(takenUp))
	return e
}
