package claim

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/request"
)

// Kind is the kind of the objects that hold one claim each.
const Kind = objectstore.Kind("Claim")

// prefixChars is the length of a claim name's prefix, by which the collector
// lists a 4096th of all claims at a time.
const prefixChars = 3

// record is the stored form of a claim.
type record struct {
	// Token is the claimant's, random: who reads its own token back knows
	// that its write took effect.
	Token   string     `json:"token"`
	Hash    []byte     `json:"hash"`
	State   State      `json:"state"`
	Request request.ID `json:"request"`
	// At is the claimant's CLOCK_REALTIME in Unix milliseconds at the last
	// change; only the collector reads it.
	At          int64  `json:"at"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Answer      []byte `json:"answer,omitempty"`
}

func newRecord(h Hash, id request.ID, now time.Time) record {
	return record{Token: newToken(), Hash: slices.Clone(h[:]), State: Claimed, Request: id, At: now.UnixMilli()}
}

// withOutcome returns the record in its final state.
func (r record) withOutcome(o Outcome, now time.Time) record {
	r.State, r.At = o.State, now.UnixMilli()
	r.Status, r.ContentType = o.Status, o.ContentType
	if len(o.Answer) <= MaxAnswerBytes {
		r.Answer = slices.Clone(o.Answer)
	}
	return r
}

func (r record) outcome() Outcome {
	return Outcome{State: r.State, Answer: r.Answer, ContentType: r.ContentType, Status: r.Status}
}

func (r record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings, numbers and bytes always marshal
	}
	return b
}

// decode reads a stored claim. One that can't be read says nothing of its
// request, so it reads as claimed by nobody known: it never runs again.
func decode(b []byte) record {
	var r record
	if json.Unmarshal(b, &r) != nil || r.State == "" {
		return record{State: Unknown}
	}
	return r
}

// objectName is the claim's object name: a fixed-size prefix, then the hash
// of the key, so that no caller's text gets into a name.
func objectName(k Key) string {
	h := sha256.New()
	h.Write([]byte(k.Workspace))
	h.Write([]byte{0})
	h.Write([]byte(k.IdempotencyKey))
	sum := hex.EncodeToString(h.Sum(nil))
	return sum[:prefixChars] + "/" + sum
}

const tokenBytes = 12

func newToken() string {
	var b [tokenBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand never fails on the supported platforms
	}
	return hex.EncodeToString(b[:])
}

// existingError says why a claim that was found keeps another from being made.
func (o Options) existingError(name string, wanted, found record) error {
	if found.Hash != nil && string(found.Hash) != string(wanted.Hash) {
		o.count(countConflict)
		return errors.Wrapf(ErrConflict, "claim %s", name)
	}
	o.count(countExisting)
	return &ExistingError{Outcome: found.outcome()}
}
