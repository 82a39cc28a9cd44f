package poolwire

import (
	"math"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/poolwire/wirepb"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/pkg/errors"
)

// ErrInvalid reports a payload that can't be decoded or has a value out of
// bounds. The whole batch is refused. The session then has a gap in its
// sequence numbers and is opened again.
var ErrInvalid = errors.New("invalid pool message")

// Bounds of what a peer may send.
const (
	maxNameBytes = 256
	// MaxBatch is the largest number of events or commands in a batch.
	MaxBatch  = 4096
	maxBlocks = 1 << 16
	// maxServers limits the servers that a request was sent to before.
	maxServers  = 64
	maxCount    = 1 << 40
	maxDuration = 30 * 24 * time.Hour
	// maxNextWithin limits the announced interval between two messages. A
	// faulty peer could otherwise keep a dead session open for days.
	maxNextWithin = time.Minute
	tierCount     = uint32(request.MaxTiers)
)

// checker validates the fields of a message and keeps the first error.
type checker struct{ err error }

func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = errors.Wrapf(ErrInvalid, format, args...)
	}
}

// requiredName checks a name that must not be empty.
func (c *checker) requiredName(field, s string) string {
	if s == "" {
		c.fail("%s is empty", field)
	}
	return c.optionalName(field, s)
}

// optionalName checks a name that may be empty.
func (c *checker) optionalName(field, s string) string {
	if len(s) > maxNameBytes {
		c.fail("%s is too long: %d bytes", field, len(s))
	}
	return s
}

func (c *checker) number(field string, v uint64) int {
	if v > maxCount {
		c.fail("%s is out of range: %d", field, v)
		return 0
	}
	return int(v)
}

// enum checks a value that must be less than limit.
func (c *checker) enum(field string, v, limit uint32) uint8 {
	if v >= limit {
		c.fail("%s is out of range: %d", field, v)
		return 0
	}
	return uint8(v)
}

func (c *checker) batchSize(field string, n int) {
	if n > MaxBatch {
		c.fail("%d %s exceed the batch limit", n, field)
	}
}

// duration checks a duration that may be negative, such as the time left until
// a deadline.
func (c *checker) duration(field string, v int64) time.Duration {
	d := time.Duration(v)
	if d > maxDuration || d < -maxDuration {
		c.fail("%s is out of range: %s", field, d)
		return 0
	}
	return d
}

// elapsed checks a duration that must not be negative.
func (c *checker) elapsed(field string, v int64) time.Duration {
	if v < 0 {
		c.fail("%s is negative: %d ns", field, v)
		return 0
	}
	return c.duration(field, v)
}

// nextWithin checks the announced interval until a peer's next message.
func (c *checker) nextWithin(ms uint32) time.Duration {
	d := time.Duration(ms) * time.Millisecond
	if d > maxNextWithin {
		c.fail("next_ms is too long: %s", d)
		return 0
	}
	return d
}

func (c *checker) blocks(b []uint64) []uint64 {
	if len(b) > maxBlocks {
		c.fail("too many blocks: %d", len(b))
		return nil
	}
	return b
}

// servers checks a list of server names, which may be nil.
func (c *checker) servers(field string, names []string) []string {
	if len(names) > maxServers {
		c.fail("%d servers in %s are too many", len(names), field)
		return nil
	}
	for _, s := range names {
		c.requiredName(field, s)
	}
	return names
}

func (c *checker) tier(v uint32) request.Tier { return request.Tier(c.enum("tier", v, tierCount)) }

func (c *checker) request(s string) request.ID { return request.ID(c.requiredName("request", s)) }

func (c *checker) grant(g *wirepb.GrantID) pool.GrantID {
	if g == nil {
		c.fail("grant is missing")
	}
	return pool.GrantID{Epoch: g.GetEpoch(), Seq: g.GetSeq()}
}

func (c *checker) event(m *wirepb.Event, entry pool.EntryID) pool.Event {
	switch k := m.GetKind().(type) {
	case *wirepb.Event_Enqueue:
		return c.enqueue(k.Enqueue, entry)
	case *wirepb.Event_Withdraw:
		return pool.Withdraw{Request: c.request(k.Withdraw.GetRequest()), Entry: entry}
	case *wirepb.Event_Progress:
		return c.progress(k.Progress)
	case *wirepb.Event_Release:
		return c.release(k.Release, entry)
	case *wirepb.Event_Running:
		return c.running(k.Running, entry)
	case *wirepb.Event_RateLimited:
		return c.rateLimited(k.RateLimited, entry)
	case *wirepb.Event_Brittle:
		m := k.Brittle
		return pool.Brittle{Entry: entry, Grant: c.grant(m.GetGrant()), Server: c.requiredName("server", m.GetServer()), Rejections: c.number("rejections", m.GetRejections())}
	case *wirepb.Event_Leaving:
		m := k.Leaving
		return pool.Leaving{Entry: entry, Server: c.requiredName("server", m.GetServer()), Incarnation: c.optionalName("incarnation", m.GetIncarnation())}
	case *wirepb.Event_Pushback:
		m := k.Pushback
		return pool.Pushback{
			Entry: entry, Server: c.requiredName("server", m.GetServer()), Incarnation: c.optionalName("incarnation", m.GetIncarnation()), For: c.elapsed("for", m.GetFor()),
		}
	case *wirepb.Event_EntryReported:
		return pool.EntryReported{Entry: entry}
	default:
		return pool.Tick{} // an unknown kind from a newer peer; sessions ignore it
	}
}

func (c *checker) enqueue(m *wirepb.Enqueue, entry pool.EntryID) pool.Event {
	return pool.Enqueue{
		Request: c.request(m.GetRequest()), Entry: entry,
		Workspace: c.optionalName("workspace", m.GetWorkspace()), Template: c.optionalName("template", m.GetTemplate()),
		Model: c.optionalName("model", m.GetModel()), Tier: c.tier(m.GetTier()),
		Waited: c.elapsed("waited", m.GetWaited()), FirstTokenIn: c.duration("first_token_in", m.GetFirstTokenIn()),
		DeadlineIn: c.duration("deadline_in", m.GetDeadlineIn()), PerToken: c.elapsed("per_token", m.GetPerToken()),
		PromptTokens: c.number("prompt_tokens", m.GetPromptTokens()), MaxTokens: c.number("max_tokens", m.GetMaxTokens()),
		ExpectedTokens: c.number("expected_tokens", m.GetExpectedTokens()),
		Blocks:         c.blocks(m.GetBlocks()), Fingerprint: m.GetFingerprint(),
		MaxWaiting: c.number("max_waiting", m.GetMaxWaiting()), NoRedirect: m.GetNoRedirect(), SentTo: c.servers("sent_to", m.GetSentTo()),
		Version: c.optionalName("version", m.GetVersion()), Parts: c.blocks(m.GetParts()),
	}
}

func (c *checker) progress(m *wirepb.Progress) pool.Event {
	return pool.Progress{
		Request: c.request(m.GetRequest()), Grant: c.grant(m.GetGrant()), Server: c.requiredName("server", m.GetServer()),
		FirstToken: c.elapsed("first_token", m.GetFirstToken()), Tokens: c.number("tokens", m.GetTokens()),
		PerToken: c.elapsed("per_token", m.GetPerToken()),
	}
}

func (c *checker) release(m *wirepb.Release, entry pool.EntryID) pool.Event {
	return pool.Release{
		Request: c.request(m.GetRequest()), Entry: entry, Grant: c.grant(m.GetGrant()), Server: c.requiredName("server", m.GetServer()),
		Outcome:    pool.Outcome(c.enum("outcome", m.GetOutcome(), uint32(pool.OutcomeFailed)+1)),
		FirstToken: c.elapsed("first_token", m.GetFirstToken()), Total: c.elapsed("total", m.GetTotal()),
		OutputTokens: c.number("output_tokens", m.GetOutputTokens()), PromptTokens: c.number("prompt_tokens", m.GetPromptTokens()),
		PrefillComputed: c.number("prefill_computed", m.GetPrefillComputed()), RefusedLeaving: m.GetRefusedLeaving(), ServerGone: m.GetServerGone(),
		Reach: pool.Reach(c.enum("reach", m.GetReach(), uint32(pool.UnreachableByPeer)+1)),
	}
}

func (c *checker) rateLimited(m *wirepb.RateLimited, entry pool.EntryID) pool.Event {
	perSecond := m.GetPerSecond()
	if !(perSecond >= 0) || math.IsInf(perSecond, 1) {
		c.fail("per_second is out of range: %v", perSecond)
	}
	return pool.RateLimited{Entry: entry, Grant: c.grant(m.GetGrant()), Server: c.requiredName("server", m.GetServer()), PerSecond: perSecond}
}

func (c *checker) running(m *wirepb.Running, entry pool.EntryID) pool.Event {
	return pool.Running{
		Entry: entry, Request: c.request(m.GetRequest()), Grant: c.grant(m.GetGrant()), Server: c.requiredName("server", m.GetServer()),
		Workspace: c.optionalName("workspace", m.GetWorkspace()), Template: c.optionalName("template", m.GetTemplate()),
		Model: c.optionalName("model", m.GetModel()), Tier: c.tier(m.GetTier()), Fingerprint: m.GetFingerprint(),
		PromptTokens: c.number("prompt_tokens", m.GetPromptTokens()), MaxTokens: c.number("max_tokens", m.GetMaxTokens()),
		ExpectedTokens: c.number("expected_tokens", m.GetExpectedTokens()),
		Tokens:         c.number("tokens", m.GetTokens()), Blocks: c.blocks(m.GetBlocks()),
		Parts: c.blocks(m.GetParts()),
	}
}

func (c *checker) command(m *wirepb.Command, entry pool.EntryID) pool.Command {
	switch k := m.GetKind().(type) {
	case *wirepb.Command_Grant:
		return pool.Grant{
			Request: c.request(k.Grant.GetRequest()), Entry: entry,
			Grant: c.grant(k.Grant.GetGrant()), Server: c.requiredName("server", k.Grant.GetServer()),
		}
	case *wirepb.Command_Shed:
		return pool.Shed{
			Request: c.request(k.Shed.GetRequest()), Entry: entry,
			Reason:     request.Reason(c.requiredName("reason", k.Shed.GetReason())),
			RetryAfter: c.elapsed("retry_after", k.Shed.GetRetryAfter()),
		}
	case *wirepb.Command_Redirect:
		return pool.Redirect{
			Request: c.request(k.Redirect.GetRequest()), Entry: entry, Pool: c.requiredName("pool", k.Redirect.GetPool()),
		}
	default:
		return pool.ShareSuspect{} // an unknown kind from a newer peer; entries ignore it
	}
}
