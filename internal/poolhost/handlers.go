package poolhost

import (
	"context"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/pkg/errors"
)

// register takes the messages that concern owners from the transport.
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

// errForeignEntry reports a peer that speaks for another daemon's entry.
var errForeignEntry = errors.New("message for another member's entry")

func (h *Host) onHello(_ context.Context, from peer.Name, payload []byte) ([]byte, error) {
	hello, err := poolwire.DecodeHello(payload)
	if err == nil && poolwire.MemberOf(hello.Entry) != string(from) {
		err = errForeignEntry
	}
	if err != nil {
		return nil, h.countBadMessage(err)
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

// onSummary takes a sibling's brief, or answers an empty call with the full
// summaries of the pools owned here.
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

// replyTo returns the way back to a peer's entry.
func (h *Host) replyTo(to peer.Name) Reply {
	return func(b poolwire.Commands) error {
		return h.cfg.Transport.Send(to, peer.TypePoolCommands, poolwire.EncodeCommands(b))
	}
}

// Hello opens or closes a session with a pool's owner on this daemon.
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

// Events takes an entry's batch for a pool owned by this daemon.
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
