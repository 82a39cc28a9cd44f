package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// longAnswerBytes is the size from which one answer of unknown length is read at a time.
	// Otherwise several that are read together could each hold what the others need. For the same
	// reason one that is longer than shortAnswerBytes takes all up to longAnswerBytes at once.
	shortAnswerBytes, longAnswerBytes = 32 << 10, 256 << 10
	// longAnswerTimeout is how long such an answer may wait while it keeps others from the room
	// that they need. It may have no end.
	longAnswerTimeout = time.Second
)

var errNoAnswerRoom = errors.New("others need the room that the answer holds")

// answerReader reserves the room for one answer while it is read.
type answerReader struct {
	exchange *exchange
	reply    *reply
	hold     answerHold
	long     bool // it is the one of unknown length that is long
	oversize bool // it is the one that exceeds what all others may take
}

// end gives back what the answer holds as one that is being read.
func (a *answerReader) end() {
	a.hold.release()
	if a.long {
		<-a.exchange.server.longAnswer
	}
	if a.oversize {
		<-a.exchange.server.oversizeAnswer
	}
}

// reserve reserves room for so many bytes of the answer, or for all of it if its length is known.
func (a *answerReader) reserve(bytes int64) error {
	if a.reply.framing == framedByLength {
		bytes = int64(a.reply.length)
	}
	if err := a.awaitHold(bytes); err != nil {
		return errors.Wrap(err, "no memory for the answer")
	}
	x := a.exchange
	return errors.Wrap(x.memory.AwaitRoom(x.ctx, x.heldBytes()+max(0, bytes-includedBytes)), "no memory for the answer")
}

// awaitHold waits for room among the answers that are being read.
func (a *answerReader) awaitHold(bytes int64) error {
	ctx := a.exchange.ctx
	switch {
	case a.reply.framing == framedByLength || bytes <= shortAnswerBytes:
	case bytes <= longAnswerBytes:
		bytes = longAnswerBytes
	default:
		if err := a.becomeLong(); err != nil {
			return err
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, longAnswerTimeout, errNoAnswerRoom)
		defer cancel()
	}
	bytes = max(0, bytes-includedBytes)
	if bytes > a.hold.memory.limit {
		return a.becomeOversize()
	}
	return a.hold.await(ctx, bytes)
}

// becomeOversize waits until no other answer is oversize. From then on it is counted in the account
// alone.
func (a *answerReader) becomeOversize() error {
	if a.oversize {
		return nil
	}
	select {
	case a.exchange.server.oversizeAnswer <- struct{}{}:
		a.oversize = true
		a.hold.release()
		return nil
	case <-a.exchange.ctx.Done():
		return a.exchange.ctx.Err()
	}
}

// becomeLong waits until no other answer of unknown length is long.
func (a *answerReader) becomeLong() error {
	for !a.long {
		timer := time.NewTimer(longAnswerTimeout)
		select {
		case a.exchange.server.longAnswer <- struct{}{}:
			a.long = true
		case <-timer.C:
			if a.hold.memory.contended() {
				return errNoAnswerRoom
			}
		case <-a.exchange.ctx.Done():
			timer.Stop()
			return a.exchange.ctx.Err()
		}
		timer.Stop()
	}
	return nil
}
