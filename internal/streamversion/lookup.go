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
	id := s.key()
	own := k.ownEvidence(id, s.Service)
	if own.known && own.version != ambiguous {
		k.counters.results[recorded].Add(1)
		return own.version, nil
	}
	answers, unanswered := k.ask(ctx, id, s.Service)
	if len(answers) > 0 || k.listIsFresh() {
		answers = append(answers, own)
	}
	version, v := decide(answers, life)
	if v == soleSeen && !k.archiveHasOnly(ctx, s.Service, version) {
		k.counters.results[unknown].Add(1)
		return "", ErrNoAnswer
	}
	k.counters.results[v].Add(1)
	switch {
	case v != unknown:
		return version, nil
	case unanswered > 0 || len(answers) == 0:
		return "", ErrNoAnswer
	default:
		return "", ErrUnknown
	}
}

// listIsFresh reports whether this daemon's list of servers was proved lately.
func (k *Keeper) listIsFresh() bool {
	age, ok := k.cfg.ProofAge()
	return ok && age <= maxProofAge
}

// ask asks the stream's keepers, until one has a record of the stream or all have answered.
// It returns their answers, and how many did not answer.
func (k *Keeper) ask(ctx context.Context, id key, service string) (answers []evidence, unanswered int) {
	if k.transport == nil {
		return nil, 0
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	select {
	case <-k.joined:
	case <-ctx.Done():
		return nil, 1 // the other daemons are not known yet
	}
	names := k.ranking.keepersOf(id, keepersAsked)
	results := make(chan *evidence, len(names))
	payload, err := proto.Marshal(&wire.Question{Stream: uint64(id), Service: service})
	if err != nil {
		k.log.WithError(err).Error("Question for a stream's version can't be encoded.")
		return nil, len(names)
	}
	for _, name := range names {
		go func() { results <- k.askOne(ctx, name, payload) }()
	}
	for range names {
		e := <-results
		if e == nil {
			unanswered++
			continue
		}
		if answers = append(answers, *e); e.known {
			return answers, unanswered
		}
	}
	return answers, unanswered
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
	}
}
