package engine

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	port "github.com/lycheekeel/lycheekeel/engine"
)

// maxChunkTokens is the maximum size of a chunk. It matters for a stream that
// lags behind its run.
const maxChunkTokens = 256

// cursor is a stream's read position in a run's answer. Only one goroutine may
// read from it.
type cursor struct {
	engine     *Engine
	run        *run // another request's run if the answers were swapped
	requestID  string
	serial     uint64 // order of creation, for SilenceExisting
	ready      chan struct{}
	timer      *time.Timer
	offset     int // in the answer, in tokens
	byteOffset int // in the answer, in bytes
	done       bool
}

// next returns the next chunk and the id of the request that it belongs to.
// ok is false if no chunk came before the timeout or the end of ctx.
func (c *cursor) next(ctx context.Context, timeout time.Duration) (chunk port.Chunk, id string, ok bool, err error) {
	deadline := time.Now().Add(timeout)
	for {
		chunk, id, wait, err := c.poll(deadline)
		if err != nil || wait == 0 {
			return chunk, id, err == nil, err
		}
		if !c.wait(ctx, wait) && !time.Now().Before(deadline) || ctx.Err() != nil {
			return chunk, id, false, nil
		}
	}
}

// poll returns a chunk, or the time to wait before the next poll.
func (c *cursor) poll(deadline time.Time) (chunk port.Chunk, id string, wait time.Duration, err error) {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	r, now := c.run, time.Now()
	id = r.req.RequestID
	until := deadline
	visible := !now.Before(r.visibleAt)
	if !visible && r.visibleAt.Before(deadline) {
		until = r.visibleAt
	}
	switch {
	case c.done:
		return chunk, id, 0, io.EOF
	case r.crashed:
		return chunk, id, 0, errors.Wrap(port.ErrConnectionLost, "engine crashed")
	case visible && (c.offset < r.generatedTokens || r.complete()):
		return c.takeChunk(), id, 0, nil
	case r.ended && !r.complete():
		return chunk, id, 0, errors.Wrapf(port.ErrRunFailed, "run %s", r.record.Outcome)
	}
	return chunk, id, max(until.Sub(now), 1), nil
}

// complete reports whether the run generated its whole answer.
func (r *run) complete() bool { return r.ended && r.generatedTokens == r.totalTokens }

func (c *cursor) takeChunk() port.Chunk {
	r := c.run
	n := min(r.generatedTokens-c.offset, maxChunkTokens)
	end := advance(r.answer, c.byteOffset, n)
	chunk := port.Chunk{Offset: c.offset, Tokens: n, Text: r.answer[c.byteOffset:end]}
	c.offset, c.byteOffset = c.offset+n, end
	if r.complete() && c.offset == r.totalTokens {
		chunk.End, chunk.FinishReason = true, r.finishReason
		chunk.PromptTokens, chunk.PrefillComputed = r.promptTokens, r.prefillComputed
		c.done = true
	}
	return chunk
}

// wait waits until the run has progressed. It returns false if d elapsed or ctx
// ended first.
func (c *cursor) wait(ctx context.Context, d time.Duration) bool {
	if c.timer == nil {
		c.timer = time.NewTimer(d)
	} else {
		c.timer.Reset(d)
	}
	defer c.timer.Stop()
	select {
	case <-c.ready:
		return true
	case <-c.timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// Close implements port.Stream. The run continues.
func (c *cursor) Close() error {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	c.run.detach(c, time.Now())
	if c.engine.swapPending == c {
		c.engine.swapPending = nil
	}
	return nil
}
