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

// prefixChars is the length of the prefix of a claim's name, in hex digits. The
// collector lists claims by prefix, 1/4096 of all at a time.
const prefixChars = 3

// record is the stored form of a claim.
type record struct {
	// Token is random and chosen by the claimant. A claimant that reads its own token
	// back knows that its write took effect.
	Token   string     `json:"token"`
	Hash    []byte     `json:"hash"`
	State   State      `json:"state"`
	Request request.ID `json:"request"`
	// At is the claimant's CLOCK_REALTIME in Unix milliseconds at the last change. It
	// is used for the retention only.
	At          int64  `json:"at"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Answer      []byte `json:"answer,omitempty"`
}

func newRecord(h Hash, id request.ID, now time.Time) record {
	return record{Token: newToken(), Hash: slices.Clone(h[:]), State: Claimed, Request: id, At: now.UnixMilli()}
}

// withOutcome returns the record with an outcome.
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

// decode decodes a stored claim. A claim that can't be decoded says nothing about its
// request: it gets state Unknown, and the request never runs again.
func decode(b []byte) record {
	var r record
	if json.Unmarshal(b, &r) != nil || r.State == "" {
		return record{State: Unknown}
	}
	return r
}

// objectName returns the name of a claim's object: a prefix of fixed size and the hash
// of the key, so that names contain no text of callers.
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

// existingError returns the error for a claim that already exists.
func (o Options) existingError(name string, wanted, found record) error {
	if found.Hash != nil && string(found.Hash) != string(wanted.Hash) {
		o.count(countConflict)
		return errors.Wrapf(ErrConflict, "claim %s", name)
	}
	o.count(countExisting)
	return &ExistingError{Outcome: found.outcome()}
}
