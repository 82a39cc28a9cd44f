package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/relay/wire"
	"github.com/lycheekeel/lycheekeel/member"
)

const (
	// maxPeersAsked bounds the peers that are asked for one connection.
	maxPeersAsked = 4
	// enoughWitnesses is how many peers are asked that can't reach a server either. A part of
	// the servers may be cut off from two daemons.
	enoughWitnesses = 2
	// answerTimeout bounds the wait for one peer's answer.
	answerTimeout = 250 * time.Millisecond
	// failedMemory is how long a peer that did not connect is asked after the others.
	// oldVersionMemory is the same for one that knows no relayed connections.
	failedMemory, oldVersionMemory = 2 * time.Second, 10 * time.Second
)

// result is what a peer answers, as the wire names it.
type result = wire.Result

// results are all results, for the counters.
var results = []result{
	wire.Result_RESULT_UNKNOWN, wire.Result_RESULT_CONNECTED, wire.Result_RESULT_UNREACHABLE,
	wire.Result_RESULT_CUT_OFF, wire.Result_RESULT_BUSY, wire.Result_RESULT_NO_SERVER,
}

// verdict is what the peers that were asked say together of a server.
type verdict uint8

const (
	verdictNone        verdict = iota // no peer has answered
	verdictCutOff                     // the peers that have answered reach no server
	verdictUnreachable                // a peer that reaches other servers can't reach it
)

// peers are the daemons that can be asked for connections. It is safe for concurrent use.
type peers struct {
	opener peer.StreamOpener
	view   *member.CurrentView

	mu sync.Mutex
	// avoidUntil is when a peer that did not connect is asked like the others again.
	avoidUntil map[string]time.Time
}

func newPeers(o peer.StreamOpener, view *member.CurrentView) *peers {
	return &peers{opener: o, view: view, avoidUntil: map[string]time.Time{}}
}

// connect asks peers, one after the other, for a connection to a server: first the given
// one, then the others in random order, last those that failed lately.
func (p *peers) connect(ctx context.Context, address, first string, count func(result)) (*relayedConn, verdict) {
	v, unreachable := verdictNone, 0
	for _, name := range p.order(first) {
		if ctx.Err() != nil {
			return nil, v
		}
		conn, answer, err := p.ask(ctx, name, address)
		count(answer)
		switch {
		case answer == wire.Result_RESULT_CONNECTED:
			p.avoid(name, 0)
			return conn, v
		case answer == wire.Result_RESULT_UNREACHABLE:
			v = verdictUnreachable
			if unreachable++; unreachable == enoughWitnesses {
				return nil, v
			}
		case answer == wire.Result_RESULT_CUT_OFF:
			v = max(v, verdictCutOff)
			p.avoid(name, failedMemory)
		case errors.Is(err, peer.ErrUnknownType):
			p.avoid(name, oldVersionMemory)
		default:
			p.avoid(name, failedMemory)
		}
	}
	return nil, v
}

// order returns the peers to ask.
func (p *peers) order(first string) []string {
	view, now := p.view.Load(), time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var good, avoided []string
	for _, m := range view.Members {
		switch {
		case m.Name == view.Self || m.State != member.Alive:
		case now.Before(p.avoidUntil[m.Name]):
			avoided = append(avoided, m.Name)
		default:
			good = append(good, m.Name)
		}
	}
	shuffle(good)
	shuffle(avoided)
	if i := slices.Index(good, first); i > 0 {
		good[0], good[i] = good[i], good[0]
	}
	all := append(good, avoided...)
	return all[:min(len(all), maxPeersAsked)]
}

func shuffle(names []string) {
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// avoid lets a peer be asked after the others for a while.
func (p *peers) avoid(name string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d == 0 {
		delete(p.avoidUntil, name)
		return
	}
	p.avoidUntil[name] = time.Now().Add(d)
}

// ask asks one peer for a connection.
func (p *peers) ask(ctx context.Context, name, address string) (*relayedConn, result, error) {
	payload, err := proto.Marshal(&wire.Open{Address: address, Request: httpconn.RequestID(ctx)})
	if err != nil {
		return nil, wire.Result_RESULT_UNKNOWN, errors.Wrap(err, "encode")
	}
	askCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	stream, answer, err := p.opener.OpenStream(askCtx, peer.Name(name), peer.TypeRelay, payload)
	if err != nil {
		return nil, wire.Result_RESULT_UNKNOWN, err
	}
	var opened wire.Opened
	err = proto.Unmarshal(answer, &opened)
	if err != nil || opened.Result != wire.Result_RESULT_CONNECTED {
		_ = stream.Close()
		return nil, known(opened.Result), err
	}
	return newRelayedConn(stream, name), opened.Result, nil
}

// known returns a result, or RESULT_UNKNOWN for one of a newer version.
func known(x result) result {
	if !slices.Contains(results, x) {
		return wire.Result_RESULT_UNKNOWN
	}
	return x
}
