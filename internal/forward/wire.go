package forward

import (
	"time"

	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/route"
)

// Wire is how requests and answers are spelled on a platform: the names of
// the headers that the entry reads or sets. An adapter fills it.
type Wire struct {
	// RequestID identifies one attempt of a caller; servers echo it.
	RequestID string
	// Deadline is how many milliseconds the sender will wait.
	Deadline string
	// Workspace tells a server whose request it is.
	Workspace string
	// ExpectServer names the server (discovery.Server.ID) that a request is
	// meant for; another one refuses it.
	ExpectServer string
	// NotExecuted is a server's word that it did not run the request.
	NotExecuted string
	// Signature proves that an answer is a server's.
	Signature string
	// LastEvent is the id of the last event that was received of a stream.
	LastEvent string
	// Tokens is read by ParseTokens; LengthHint is the caller's estimate of
	// the tokens that will be generated.
	Tokens     string
	LengthHint string
	// Reserved headers are the system's to set; a caller's are dropped.
	Reserved []string
	// ParseTokens returns a request's prompt tokens and its cap on generated
	// ones; false where the value says neither.
	ParseTokens func(value []byte) (promptTokens, maxTokens int, ok bool)
}

// Admission answers, for a request that wants to be sent, whether this daemon
// may rely on its configuration.
type Admission interface {
	// Fresh tells whether the configuration was proved in force recently
	// enough to trust a key.
	Fresh() bool
	// MayUse tells whether, as far as this daemon knows, a server is there and
	// not leaving, and whether its version is one for a canary or for other requests.
	// The owner of its pool may not have heard yet.
	MayUse(serverID string, canary bool) bool
	// What follows is for the log alone. ProofAge is how old the proof is, and
	// StoreLost for how long the store has not answered this daemon's own
	// reads, 0 where it does: Fresh is false when either is too long. Owner
	// is who schedules a service's requests.
	ProofAge() time.Duration
	StoreLost() time.Duration
	Owner(service string) string
}

// Quotas hold what workspaces may still use.
type Quotas interface {
	// Take uses cost of a workspace's quota, or tells when there will be
	// enough.
	Take(w *route.Workspace, tier request.Tier, cost float64) (ok bool, wait time.Duration)
	// Return gives back what a request took that was not run.
	Return(w *route.Workspace, cost float64)
}
