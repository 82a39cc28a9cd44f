package poolhost

import (
	"context"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/pkg/errors"
)

// register registers the handlers of messages to pool owners with the transport.
func (h *Host) register() {
	if h.cfg.Transport == nil {
		return
	}
	h.cfg.Transport.Handle(peer.TypePoolHello, h.onHello)
	h.cfg.Transport.Handle(peer.TypePoolEvents, h.onEvents)
	h.cfg.Transport.Handle(peer.TypePoolSummary, h.onSummary)
	h.cfg.Transport.Handle(peer.TypeSuspect, h.onSuspect)
	h.cfg.Transport.OnDown(func(name peer.Name) {
		for _, all := range []map[string]*Runtime{*h.owned.Load(), *h.draining.Load()} {
			for _, r := range all {
				r.mailbox.Post(peerDownMessage{string(name)})
			}
		}
	})
}

// errForeignEntry reports a peer that sent a message on behalf of another
// member's entry.
var errForeignEntry = errors.New("message names another member's entry")

func (h *Host) onHello(_ context.Context, from peer.Name, payload []byte) ([]byte, error) {
	hello, err := poolwire.DecodeHello(payload)
	if err == nil && poolwire.MemberOf(hello.Entry) != string(from) {
		err = errForeignEntry
	}
	if err != nil {
		return nil, h.countBadMessage(err)
	}
	if !hello.Close && h.Owned(hello.Pool) != nil {
		h.SendSuspects(string(from))
	}
	h.Hello(hello, h.replyTo(from))
	return nil, nil
}

func (h *Host) onEvents(_ context.Context, from peer.Name, payload []byte) ([]byte, error) {
	batch, err := poolwire.DecodeEvents(payload)
	if err == nil && poolwire.MemberOf(batch.Entry) != string(from) {
		err = errForeignEntry
	}
	if err != nil {
		return nil, h.countBadMessage(err)
	}
	h.Events(batch, h.replyTo(from))
	return nil, nil
}

// onSummary receives a sibling's brief. An empty call is answered with the
// full summaries of the pools that this daemon owns.
func (h *Host) onSummary(_ context.Context, _ peer.Name, payload []byte) ([]byte, error) {
	if len(payload) == 0 {
		return poolwire.EncodeSummaries(h.Summaries()), nil
	}
	b, err := poolwire.DecodeBrief(payload)
	if err != nil {
		return nil, h.countBadMessage(err)
	}
	h.receiveBrief(b)
	return nil, nil
}

func (h *Host) onSuspect(_ context.Context, _ peer.Name, payload []byte) ([]byte, error) {
	ev, err := poolwire.DecodeSuspect(payload)
	if err != nil {
		return nil, h.countBadMessage(err)
	}
	h.receiveSuspect(nil, ev)
	return nil, nil
}

func (h *Host) countBadMessage(err error) error {
	h.count.badMessages.Add(1)
	return err
}

// replyTo returns a function that sends batches of commands to a peer.
func (h *Host) replyTo(to peer.Name) Reply {
	return func(b poolwire.Commands) error {
		return h.cfg.Transport.Send(to, peer.TypePoolCommands, poolwire.EncodeCommands(b))
	}
}

// Hello opens or closes an entry's session with a pool that this daemon owns.
// Sessions of draining pools can only be closed.
func (h *Host) Hello(hello poolwire.Hello, reply Reply) {
	r := h.Owned(hello.Pool)
	if r == nil && hello.Close {
		r = (*h.draining.Load())[hello.Pool]
	}
	switch {
	case r != nil:
		r.Hello(hello, reply)
	case !hello.Close:
		h.notOwner(hello.Pool, hello.Session, reply)
	}
}

// Events handles an entry's batch for an owned or draining pool.
func (h *Host) Events(b poolwire.Events, reply Reply) {
	r := h.Owned(b.Pool)
	if r == nil {
		r = (*h.draining.Load())[b.Pool]
	}
	if r != nil {
		r.Events(b, reply)
	} else if b.Seq != 0 {
		h.notOwner(b.Pool, b.Session, reply)
	}
}

func (h *Host) notOwner(pool string, s poolwire.SessionID, reply Reply) {
	_ = reply(poolwire.Commands{Pool: pool, Session: s, Status: poolwire.SessionNotOwner})
}
