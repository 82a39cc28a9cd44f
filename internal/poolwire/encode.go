package poolwire

import (
	"github.com/lycheekeel/lycheekeel/internal/poolwire/wirepb"
	"github.com/lycheekeel/lycheekeel/pool"
	"google.golang.org/protobuf/proto"
)

// marshal encodes a message of this package. It fails only for a string that
// is not UTF-8, which validated names never are.
func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil // all decoders but DecodeSummaries refuse an empty payload
	}
	return b
}

// EncodeHello encodes a Hello.
func EncodeHello(h Hello) []byte {
	return marshal(&wirepb.Hello{Pool: h.Pool, Entry: string(h.Entry), Session: uint64(h.Session), Close: h.Close})
}

// EncodeEvents encodes a batch of events. The entry is encoded once for the
// batch, not in each event.
func EncodeEvents(b Events) []byte {
	m := &wirepb.Events{
		Pool: b.Pool, Entry: string(b.Entry), Session: uint64(b.Session), Seq: b.Seq, Ack: b.Ack,
		NextMs: uint32(b.NextWithin.Milliseconds()),
		Events: make([]*wirepb.Event, 0, len(b.Events)),
	}
	for _, ev := range b.Events {
		if e := eventToWire(ev); e != nil {
			m.Events = append(m.Events, e)
		}
	}
	return marshal(m)
}

// EncodeCommands encodes a batch of commands. The entry is not encoded, since
// the session implies it.
func EncodeCommands(b Commands) []byte {
	m := &wirepb.Commands{
		Pool: b.Pool, Session: uint64(b.Session), Seq: b.Seq, Ack: b.Ack, Epoch: b.Epoch, Verdict: uint32(b.Status),
		NextMs:   uint32(b.NextWithin.Milliseconds()),
		Commands: make([]*wirepb.Command, 0, len(b.Commands)),
	}
	if b.Brief != nil {
		m.Brief = briefToWire(*b.Brief)
	}
	for _, c := range b.Commands {
		if w := commandToWire(c); w != nil {
			m.Commands = append(m.Commands, w)
		}
	}
	return marshal(m)
}

// EncodeBrief encodes a pool's brief.
func EncodeBrief(b Brief) []byte { return marshal(briefToWire(b)) }

// EncodeSuspect encodes the state of a suspect fingerprint.
func EncodeSuspect(s pool.SuspectShared) []byte {
	return marshal(&wirepb.Suspect{
		Fingerprint: s.Fingerprint, State: uint32(s.State), ExpiresIn: int64(s.ExpiresIn),
		Crashes: s.Crashes, Trials: uint32(s.Trials), TrialIn: int64(s.TrialIn),
		Part: s.Part, Workspace: s.Scope.Workspace, SeveralWorkspaces: s.Scope.Several,
	})
}

// EncodeSummaries encodes full summaries.
func EncodeSummaries(all []pool.Summary) []byte {
	m := &wirepb.Summaries{}
	for _, s := range all {
		w := &wirepb.Summary{Brief: briefToWire(BriefOf(s)), Running: uint64(s.Running)}
		for _, v := range s.Servers {
			w.Servers = append(w.Servers, &wirepb.ServerSummary{
				Name: v.Name, Health: uint32(v.Health), Running: uint64(v.Running), Limit: uint64(v.Limit), Straggler: v.Straggler,
			})
		}
		m.Summaries = append(m.Summaries, w)
	}
	return marshal(m)
}

func eventToWire(ev pool.Event) *wirepb.Event {
	switch e := ev.(type) {
	case pool.Enqueue:
		return &wirepb.Event{Kind: &wirepb.Event_Enqueue{Enqueue: enqueueToWire(e)}}
	case pool.Withdraw:
		return &wirepb.Event{Kind: &wirepb.Event_Withdraw{Withdraw: &wirepb.Withdraw{Request: string(e.Request)}}}
	case pool.Progress:
		return &wirepb.Event{Kind: &wirepb.Event_Progress{Progress: &wirepb.Progress{
			Request: string(e.Request), Grant: grantIDToWire(e.Grant), Server: e.Server,
			FirstToken: int64(e.FirstToken), Tokens: uint64(e.Tokens), PerToken: int64(e.PerToken),
		}}}
	case pool.Release:
		return &wirepb.Event{Kind: &wirepb.Event_Release{Release: releaseToWire(e)}}
	case pool.Running:
		return &wirepb.Event{Kind: &wirepb.Event_Running{Running: runningToWire(e)}}
	case pool.RateLimited:
		return &wirepb.Event{Kind: &wirepb.Event_RateLimited{RateLimited: &wirepb.RateLimited{
			Grant: grantIDToWire(e.Grant), Server: e.Server, PerSecond: e.PerSecond,
		}}}
	case pool.Brittle:
		return &wirepb.Event{Kind: &wirepb.Event_Brittle{Brittle: &wirepb.Brittle{
			Grant: grantIDToWire(e.Grant), Server: e.Server, Rejections: uint64(e.Rejections),
		}}}
	case pool.Leaving:
		return &wirepb.Event{Kind: &wirepb.Event_Leaving{Leaving: &wirepb.Leaving{Server: e.Server, Incarnation: e.Incarnation}}}
	case pool.Pushback:
		return &wirepb.Event{Kind: &wirepb.Event_Pushback{Pushback: &wirepb.Pushback{Server: e.Server, Incarnation: e.Incarnation, For: int64(e.For)}}}
	case pool.EntryReported:
		return &wirepb.Event{Kind: &wirepb.Event_EntryReported{EntryReported: &wirepb.EntryReported{}}}
	default:
		return nil // the other events are internal to an owner
	}
}

func enqueueToWire(e pool.Enqueue) *wirepb.Enqueue {
	return &wirepb.Enqueue{
		Request: string(e.Request), Workspace: e.Workspace, Template: e.Template, Model: e.Model,
		Tier: uint32(e.Tier), Waited: int64(e.Waited), FirstTokenIn: int64(e.FirstTokenIn),
		DeadlineIn: int64(e.DeadlineIn), PerToken: int64(e.PerToken),
		PromptTokens: uint64(e.PromptTokens), MaxTokens: uint64(e.MaxTokens), ExpectedTokens: uint64(e.ExpectedTokens),
		Blocks: e.Blocks, Fingerprint: e.Fingerprint, MaxWaiting: uint64(e.MaxWaiting), NoRedirect: e.NoRedirect, SentTo: e.SentTo,
		Version: e.Version, Parts: e.Parts,
	}
}

func releaseToWire(e pool.Release) *wirepb.Release {
	return &wirepb.Release{
		Request: string(e.Request), Grant: grantIDToWire(e.Grant), Server: e.Server, Outcome: uint32(e.Outcome),
		FirstToken: int64(e.FirstToken), Total: int64(e.Total), OutputTokens: uint64(e.OutputTokens),
		PromptTokens: uint64(e.PromptTokens), PrefillComputed: uint64(e.PrefillComputed),
		RefusedLeaving: e.RefusedLeaving, ServerGone: e.ServerGone, Reach: uint32(e.Reach),
	}
}

func runningToWire(e pool.Running) *wirepb.Running {
	return &wirepb.Running{
		Request: string(e.Request), Grant: grantIDToWire(e.Grant), Server: e.Server, Workspace: e.Workspace,
		Template: e.Template, Model: e.Model, Tier: uint32(e.Tier), Fingerprint: e.Fingerprint,
		PromptTokens: uint64(e.PromptTokens), MaxTokens: uint64(e.MaxTokens), ExpectedTokens: uint64(e.ExpectedTokens),
		Tokens: uint64(e.Tokens), Blocks: e.Blocks, Parts: e.Parts,
	}
}

func commandToWire(c pool.Command) *wirepb.Command {
	switch c := c.(type) {
	case pool.Grant:
		return &wirepb.Command{Kind: &wirepb.Command_Grant{Grant: &wirepb.Grant{
			Request: string(c.Request), Grant: grantIDToWire(c.Grant), Server: c.Server,
		}}}
	case pool.Shed:
		return &wirepb.Command{Kind: &wirepb.Command_Shed{Shed: &wirepb.Shed{
			Request: string(c.Request), Reason: string(c.Reason), RetryAfter: int64(c.RetryAfter),
		}}}
	case pool.Redirect:
		return &wirepb.Command{Kind: &wirepb.Command_Redirect{Redirect: &wirepb.Redirect{
			Request: string(c.Request), Pool: c.Pool,
		}}}
	default:
		return nil // ShareSuspect is sent to members, not to entries
	}
}

func grantIDToWire(g pool.GrantID) *wirepb.GrantID {
	return &wirepb.GrantID{Epoch: g.Epoch, Seq: g.Seq}
}

func briefToWire(b Brief) *wirepb.Brief {
	w := &wirepb.Brief{Pool: b.Pool, Free: uint64(b.Free)}
	for t := range b.Waiting {
		w.Waiting = append(w.Waiting, uint64(b.Waiting[t]))
		w.ExpectedWait = append(w.ExpectedWait, int64(b.ExpectedWait[t]))
	}
	return w
}
