package entry

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// includedAnswerBytes is the size up to which an answer needs no reservation.
	includedAnswerBytes = 16 << 10
	// maxReplyBytes bounds an answer that is held in memory whole. Of the memory for bodies, one of
	// known length may take half, and one of unknown length a quarter, as it needs room to grow.
	maxReplyBytes, knownReplyPart, unknownReplyPart = 64 << 20, 2, 4
	// longReplyBytes is the size from which one reply of unknown length is read at a time.
	// Otherwise several that are read together could each hold what the others need.
	longReplyBytes = 256 << 10
	// replyRoomTimeout is how long a reply waits for room. Many short ones together may hold what
	// each of them needs, and one without end what the long ones need.
	replyRoomTimeout = 2 * time.Second
)

// replyLimit returns the most bytes that an answer may have.
func (l Limits) replyLimit(lengthKnown bool) int {
	if lengthKnown {
		return int(min(maxReplyBytes, l.BodyBytes/knownReplyPart))
	}
	return int(min(maxReplyBytes, l.BodyBytes/unknownReplyPart))
}

// replyRoom reserves the room for an answer while it is read.
type replyRoom struct {
	exchange   *exchange
	takesTurns bool // one such answer at a time is longer than longReplyBytes
	long       bool // it is that one
}

// newReplyRoom begins the reservation of the exchange's answer. end must be called when it is read.
func (x *exchange) newReplyRoom(takesTurns bool) *replyRoom {
	x.answer = x.entry.account.Reserve(x.conn, x.workspace.Workspace, x.spec.Tier, func() {})
	x.answer.Pin()
	return &replyRoom{exchange: x, takesTurns: takesTurns}
}

func (r *replyRoom) end() {
	if r.long {
		<-r.exchange.entry.longReply
	}
}

// reserve waits until there is room for so many bytes of the answer. If there is none in time,
// the answer is lost.
func (r *replyRoom) reserve(bytes int64) error {
	x := r.exchange
	if r.takesTurns && bytes > longReplyBytes && !r.long {
		select {
		case x.entry.longReply <- struct{}{}:
			r.long = true
		case <-x.ctx.Done():
			return errors.Wrap(x.ctx.Err(), "no memory for the reply")
		}
	}
	ctx, cancel := context.WithTimeout(x.ctx, replyRoomTimeout)
	defer cancel()
	return errors.Wrap(x.answer.AwaitRoom(ctx, max(0, bytes-includedAnswerBytes)), "no memory for the reply")
}

// readReply reads the body of a service's reply. While there is no room for it, it is left in
// its service's connection.
func (x *exchange) readReply(stream io.Reader, length int) ([]byte, error) {
	limit := x.entry.limits.replyLimit(length >= 0)
	if length > limit {
		return nil, errors.Wrapf(errOverLimit, "reply of %d bytes", length)
	}
	room := x.newReplyRoom(length < 0)
	defer room.end()
	g := growingBuffer{size: length, length: length, limit: limit, reserve: room.reserve}
	if length < 0 {
		g.size = initialBodyBytes
	}
	return g.read(stream)
}

// collectText reads the text of an engine's answer to its end, and returns it with the reason
// why it ended. Long ones take no turns: an engine may write on one for minutes.
func (a *answer) collectText() (text, finish string, err error) {
	x := a.x
	room := x.newReplyRoom(false)
	defer room.end()
	var b strings.Builder
	for {
		c, err := a.Next(x.ctx)
		if errors.Is(err, io.EOF) {
			return b.String(), finish, nil
		}
		if err != nil {
			return "", "", err
		}
		size := b.Len() + len(c.Text)
		if size > x.entry.limits.replyLimit(false) {
			return "", "", a.failRun(errOverLimit)
		}
		if size > includedAnswerBytes {
			if err := room.reserve(int64(2 * size)); err != nil { // with the room of the builder, or the encoded answer
				return "", "", a.failRun(err)
			}
		}
		b.WriteString(c.Text)
		finish = c.FinishReason
	}
}

// reserveAnswer waits until there is room for the answer, which the HTTP server writes when the
// exchange has ended. The account takes it back when the connection goes on.
func (x *exchange) reserveAnswer(ctx *fasthttp.RequestCtx) {
	size, conn := len(ctx.Response.Body()), callerConn(ctx)
	if size <= includedAnswerBytes || conn == nil || x.spec == nil {
		return
	}
	if x.answer == nil {
		x.answer = x.entry.account.Reserve(conn, x.workspace.Workspace, x.spec.Tier, func() {})
		x.answer.Pin()
	}
	x.answerKept = true
	if err := x.answer.AwaitRoom(x.ctx, int64(size)); err != nil {
		x.log.WithError(err).Info("no memory for the answer")
	}
}
