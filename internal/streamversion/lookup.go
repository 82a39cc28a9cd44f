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
	l := &lookup{stream: s, started: k.cfg.Now(), own: k.ownEvidence(s.key(), s.Service)}
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

// find returns the version that began a stream and how it is known, or why it is not.
func (k *Keeper) find(ctx context.Context, l *lookup, life time.Duration) (string, verdict, error) {
	if l.own.known && l.own.version != ambiguous {
		return l.own.version, recorded, nil
	}
	k.ask(ctx, l)
	all := make([]evidence, 0, len(l.answers)+1)
	for _, a := range l.answers {
		all = append(all, a.evidence)
	}
	if len(all) > 0 || l.own.proved && l.own.proofAge <= maxProofAge {
		all = append(all, l.own)
	}
	version, v := decide(all, life)
	unproved := v == soleSeen && !k.archiveHasOnly(ctx, l.stream.Service, version)
	if v != unknown && !unproved {
		return version, v, nil
	}
	if archived, found := k.findArchived(ctx, l, all); found {
		return archived, recorded, nil
	}
	switch {
	case unproved, len(l.unanswered) > 0, len(all) == 0, k.reader != nil && !k.reader.loaded():
		return "", unknown, ErrNoAnswer
	default:
		return "", unknown, ErrUnknown
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
	names := k.ranking.keepersOf(id, keepersAsked)
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
		go func() { results <- result{name, k.askOne(ctx, name, payload)} }()
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

// askOne returns one keeper's answer; nil if there is none.
func (k *Keeper) askOne(ctx context.Context, name string, payload []byte) *evidence {
	k.counters.asked.Add(1)
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
	return &evidence{
		version: m.GetVersion(), known: m.GetKnown(), versions: m.GetVersions(),
		observedFor: time.Duration(m.GetObservedMs()) * time.Millisecond,
		proofAge:    time.Duration(m.GetProofMs()) * time.Millisecond, proved: m.GetProved(),
	}
}
