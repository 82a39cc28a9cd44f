package forward

import (
	"time"

	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Wire describes how a platform encodes requests and answers: the names of the headers
// that the entry reads or sets. The platform's adapter fills it.
type Wire struct {
	// RequestID identifies one attempt of a caller. Servers echo it.
	RequestID string
	// Deadline is how long the sender will wait, in milliseconds.
	Deadline string
	// Workspace names the workspace of a request to the server.
	Workspace string
	// ExpectServer names the server (discovery.Server.ID) that a request is meant for.
	// Any other server refuses it.
	ExpectServer string
	// NotExecuted is set by a server that did not run the request.
	NotExecuted string
	// Signature proves that an answer comes from a server.
	Signature string
	// ServerRate is set by a server in need: the requests per second, a decimal number,
	// that it takes from all daemons together.
	ServerRate string
	// ServerBrittle is set by a server that falls over when it has to reject more requests in
	// a second than this whole number.
	ServerBrittle string
	// ServerLeaving is set to 1 by a server that is leaving.
	ServerLeaving string
	// LastEvent is the id of the last event of a stream that was received.
	LastEvent string
	// Resumes is the request id of the caller's attempt that brought the first event of a
	// stream that the caller takes up.
	Resumes string
	// Tokens is parsed by ParseTokens, Parts by ParseParts. LengthHint is the caller's
	// estimate of the number of tokens that will be generated.
	Tokens     string
	Parts      string
	LengthHint string
	// Reserved headers are set by the system only; a caller's are dropped.
	Reserved []string
	// ParseTokens returns a request's prompt tokens and its limit on generated tokens;
	// false if the value is not valid.
	ParseTokens func(value []byte) (promptTokens, maxTokens int, ok bool)
	// ParseParts returns the ids of the parts of a prompt that requests may share, in order.
	ParseParts func(value []byte) []uint64
}

// Admission tells whether this daemon may rely on its configuration for a request that is
// about to be sent.
type Admission interface {
	// Fresh tells whether the configuration was proved to be active recently enough to
	// trust a key.
	Fresh() bool
	// MayUse tells whether, as far as this daemon knows, a server exists in this version and
	// is not leaving, and whether its version serves canaries or other requests. The owner of
	// the server's pool may learn of a change later.
	MayUse(s workspace.BackendServer, canary bool) bool
	// ServerLeaves records that a server has said in an answer that it is leaving.
	ServerLeaves(s workspace.BackendServer)
	// The other methods are for logs only. ProofAge is the age of that proof. StoreLost is
	// how long the store has not answered this daemon's own reads, 0 if it does. Fresh is
	// false if either is too long. Owner is the daemon that schedules a service's requests.
	ProofAge() time.Duration
	StoreLost() time.Duration
	Owner(service string) string
}

// Quotas tracks what workspaces may still use.
type Quotas interface {
	// Take takes cost from a workspace's quota, or returns how long to wait until there is
	// enough.
	Take(w *route.Workspace, tier request.Tier, cost float64) (ok bool, wait time.Duration)
	// Return returns the cost of a request that was not run.
	Return(w *route.Workspace, cost float64)
}
