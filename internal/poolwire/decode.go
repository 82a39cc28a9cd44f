package poolwire

import (
	"github.com/lycheekeel/lycheekeel/internal/poolwire/wirepb"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/pool/suspect"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// unmarshal decodes a payload. An empty payload is an error.
func unmarshal(payload []byte, m proto.Message) error {
	if len(payload) == 0 {
		return errors.Wrap(ErrInvalid, "empty payload")
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return errors.Wrapf(ErrInvalid, "%v", err)
	}
	return nil
}

// DecodeHello decodes the payload of a Hello. All decoders return ErrInvalid
// for a payload that is malformed or out of bounds.
func DecodeHello(payload []byte) (Hello, error) {
	var m wirepb.Hello
	if err := unmarshal(payload, &m); err != nil {
		return Hello{}, err
	}
	var c checker
	h := Hello{
		Pool: c.requiredName("pool", m.Pool), Entry: pool.EntryID(c.requiredName("entry", m.Entry)),
		Session: SessionID(m.Session), Close: m.Close,
	}
	return h, c.err
}

// DecodeEvents decodes a batch of events and sets each event's entry to the batch's.
func DecodeEvents(payload []byte) (Events, error) {
	var m wirepb.Events
	if err := unmarshal(payload, &m); err != nil {
		return Events{}, err
	}
	var c checker
	c.batchSize("events", len(m.Events))
	b := Events{
		Pool: c.requiredName("pool", m.Pool), Entry: pool.EntryID(c.requiredName("entry", m.Entry)),
		Session: SessionID(m.Session), Seq: m.Seq, Ack: m.Ack, NextWithin: c.nextWithin(m.NextMs),
	}
	for _, e := range m.Events {
		b.Events = append(b.Events, c.event(e, b.Entry))
	}
	return b, c.err
}

// DecodeCommands decodes a batch of commands and sets each command's entry to
// entry, the receiver.
func DecodeCommands(payload []byte, entry pool.EntryID) (Commands, error) {
	var m wirepb.Commands
	if err := unmarshal(payload, &m); err != nil {
		return Commands{}, err
	}
	var c checker
	c.batchSize("commands", len(m.Commands))
	b := Commands{
		Pool: c.requiredName("pool", m.Pool), Session: SessionID(m.Session), Seq: m.Seq, Ack: m.Ack, Epoch: m.Epoch,
		Status: SessionStatus(c.enum("verdict", m.Verdict, uint32(SessionReset)+1)), NextWithin: c.nextWithin(m.NextMs),
	}
	if m.Brief != nil {
		brief := c.brief(m.Brief)
		b.Brief = &brief
	}
	for _, w := range m.Commands {
		b.Commands = append(b.Commands, c.command(w, entry))
	}
	return b, c.err
}

// DecodeBrief decodes a pool's brief.
func DecodeBrief(payload []byte) (Brief, error) {
	var m wirepb.Brief
	if err := unmarshal(payload, &m); err != nil {
		return Brief{}, err
	}
	var c checker
	b := c.brief(&m)
	return b, c.err
}

// DecodeSuspect decodes the state of a suspect fingerprint.
func DecodeSuspect(payload []byte) (pool.SuspectShared, error) {
	var m wirepb.Suspect
	if err := unmarshal(payload, &m); err != nil {
		return pool.SuspectShared{}, err
	}
	var c checker
	s := pool.SuspectShared{
		Fingerprint: m.Fingerprint,
		State:       pool.SuspectState(c.enum("state", m.State, uint32(pool.SuspectConfirmed)+1)),
		ExpiresIn:   c.duration("expires_in", m.ExpiresIn),
		Crashes:     c.servers("crashes", m.Crashes),
		Trials:      c.number("trials", uint64(m.Trials)),
		TrialIn:     c.duration("trial_in", m.TrialIn),
		Part:        m.Part,
	}
	switch {
	case m.SeveralWorkspaces:
		s.Scope = suspect.ScopeOfAll()
	case m.Part:
		s.Scope = suspect.ScopeOf(c.optionalName("workspace", m.Workspace))
	}
	return s, c.err
}

// DecodeSummaries decodes full summaries. An empty payload holds none.
func DecodeSummaries(payload []byte) ([]pool.Summary, error) {
	var m wirepb.Summaries
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, errors.Wrapf(ErrInvalid, "%v", err)
	}
	var c checker
	var out []pool.Summary
	for _, w := range m.Summaries {
		b := c.brief(w.GetBrief())
		s := pool.Summary{
			Pool: b.Pool, Waiting: b.Waiting, Free: b.Free, ExpectedWait: b.ExpectedWait,
			Running: c.number("running", w.Running),
		}
		for _, v := range w.Servers {
			s.Servers = append(s.Servers, pool.ServerSummary{
				Name:    c.requiredName("server", v.GetName()),
				Health:  pool.Health(c.enum("health", v.GetHealth(), uint32(pool.HealthGone)+1)),
				Running: c.number("running", v.GetRunning()), Limit: c.number("limit", v.GetLimit()),
				Straggler: v.GetStraggler(),
			})
		}
		out = append(out, s)
	}
	return out, c.err
}

func (c *checker) brief(m *wirepb.Brief) Brief {
	b := Brief{Pool: c.requiredName("pool", m.GetPool()), Free: c.number("free", m.GetFree())}
	if len(m.GetWaiting()) > request.MaxTiers || len(m.GetExpectedWait()) > request.MaxTiers {
		c.fail("brief has more than %d tiers", request.MaxTiers)
		return b
	}
	for t, v := range m.GetWaiting() {
		b.Waiting[t] = c.number("waiting", v)
	}
	for t, v := range m.GetExpectedWait() {
		b.ExpectedWait[t] = c.duration("expected_wait", v)
	}
	return b
}
