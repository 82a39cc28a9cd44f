package engine

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	port "github.com/lycheekeel/lycheekeel/engine"
)

// maxChunkTokens bounds one chunk of a stream that is behind its run.
const maxChunkTokens = 256

// cursor is one stream's place in a run's answer. It is read by one goroutine.
type cursor struct {
	e      *Engine
	run    *run // may be another request's run when answers are crossed
	id     string
	serial uint64 // order of creation, for SilenceExisting
	ready  chan struct{}
	timer  *time.Timer
	offset int // in tokens
	at     int // in bytes
	done   bool
}

// next returns the next chunk and the id of the request that it belongs to.
// ok is false where there was none within the time, or before ctx ended.
func (c *cursor) next(ctx context.Context, within time.Duration) (chunk port.Chunk, id string, ok bool, err error) {
	limit := time.Now().Add(within)
	for {
		chunk, id, wait, err := c.poll(limit)
		if err != nil || wait == 0 {
			return chunk, id, err == nil, err
		}
		if !c.wait(ctx, wait) && !time.Now().Before(limit) || ctx.Err() != nil {
			return chunk, id, false, nil
		}
	}
}

// poll returns a chunk, or how long to wait for one.
func (c *cursor) poll(limit time.Time) (chunk port.Chunk, id string, wait time.Duration, err error) {
	c.e.mu.Lock()
	defer c.e.mu.Unlock()
	x, now := c.run, time.Now()
	id = x.req.RequestID
	until := limit
	visible := !now.Before(x.visibleAt)
	if !visible && x.visibleAt.Before(limit) {
		until = x.visibleAt
	}
	switch {
	case c.done:
		return chunk, id, 0, io.EOF
	case x.broken:
		return chunk, id, 0, errors.Wrap(port.ErrConnectionLost, "engine crashed")
	case visible && (c.offset < x.generated || x.whole()):
		return c.take(), id, 0, nil
	case x.ended && !x.whole():
		return chunk, id, 0, errors.Wrapf(port.ErrRunFailed, "run %s", x.record.Outcome)
	}
	return chunk, id, max(until.Sub(now), 1), nil
}

// whole reports whether the run generated its whole answer.
func (x *run) whole() bool { return x.ended && x.generated == x.total }

func (c *cursor) take() port.Chunk {
	x := c.run
	n := min(x.generated-c.offset, maxChunkTokens)
	end := advance(x.text, c.at, n)
	chunk := port.Chunk{Offset: c.offset, Tokens: n, Text: x.text[c.at:end]}
	c.offset, c.at = c.offset+n, end
	if x.whole() && c.offset == x.total {
		chunk.End, chunk.FinishReason = true, x.finish
		chunk.PromptTokens, chunk.PrefillComputed = x.promptTokens, x.computed
		c.done = true
	}
	return chunk
}

// wait returns false where the time passed or ctx ended first.
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

// Close implements port.Stream: the run goes on.
func (c *cursor) Close() error {
	c.e.mu.Lock()
	defer c.e.mu.Unlock()
	c.run.detach(c, time.Now())
	if c.e.crossing == c {
		c.e.crossing = nil
	}
	return nil
}
