package engine

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/pkg/errors"

	port "github.com/lycheekeel/lycheekeel/engine"
)

// Engine implements port.Engine for callers in the same process. Calls to a
// crashed engine fail with ErrNotSent. Calls to a silent engine fail with
// ErrConnectionLost after the silence timeout.
var _ port.Engine = (*Engine)(nil)

// Run implements port.Engine.
func (e *Engine) Run(ctx context.Context, r port.Run) (port.Stream, error) {
	if err := e.connect(ctx, r.BeforeSend); err != nil {
		return nil, err
	}
	return asStream(e.start(r))
}

// Resume implements port.Engine.
func (e *Engine) Resume(ctx context.Context, requestID string, offset int) (port.Stream, error) {
	if err := e.connect(ctx, nil); err != nil {
		return nil, err
	}
	return asStream(e.resume(requestID, offset))
}

// Cancel implements port.Engine.
func (e *Engine) Cancel(ctx context.Context, requestID string) error {
	if err := e.connect(ctx, nil); err != nil {
		return err
	}
	e.cancel(requestID)
	return nil
}

// Load implements port.Engine.
func (e *Engine) Load(ctx context.Context) (port.LoadReport, error) {
	if err := e.connect(ctx, nil); err != nil {
		return port.LoadReport{}, err
	}
	return e.loadReport(), nil
}

// CacheEvents implements port.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]port.CacheEvent, error) {
	if err := e.connect(ctx, nil); err != nil {
		return nil, err
	}
	return e.cacheEvents(after), nil
}

// ExportKV implements port.Engine. It exports the leading blocks that are cached.
func (e *Engine) ExportKV(ctx context.Context, blocks []uint64) ([]byte, error) {
	if err := e.connect(ctx, nil); err != nil {
		return nil, err
	}
	return encodeBlocks(e.exportBlocks(blocks)), nil
}

// ImportKV implements port.Engine.
func (e *Engine) ImportKV(ctx context.Context, data []byte) error {
	if err := e.connect(ctx, nil); err != nil {
		return err
	}
	return e.importKV(data)
}

// Order implements port.Engine.
func (e *Engine) Order(ctx context.Context, o port.Order) error {
	if err := e.connect(ctx, nil); err != nil {
		return err
	}
	return e.handleOrder(o)
}

// connect simulates a connection: it calls beforeSend, unless that is nil, and
// returns an error if the engine is down or silent.
func (e *Engine) connect(ctx context.Context, beforeSend func() error) error {
	e.mu.Lock()
	down, silent := time.Now().Before(e.downUntil), e.faults.Silent == SilenceAll
	e.mu.Unlock()
	if down {
		return errors.Wrap(port.ErrNotSent, "engine is restarting")
	}
	if beforeSend != nil {
		if err := beforeSend(); err != nil {
			return errors.Wrap(port.ErrNotSent, err.Error())
		}
	}
	if silent {
		return e.awaitSilenceTimeout(ctx)
	}
	return nil
}

func (e *Engine) awaitSilenceTimeout(ctx context.Context) error {
	timer := time.NewTimer(ms(e.opts.SilenceMs))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return errors.Wrap(port.ErrConnectionLost, "silent")
}

func (e *Engine) isSilent(c *cursor) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Silent == SilenceAll || c.serial <= e.silencedUpTo
}

// asStream returns the cursor as a port.Stream, or nil and the error.
func asStream(c *cursor, err error) (port.Stream, error) {
	if err != nil {
		return nil, err
	}
	return c, nil
}

// Next implements port.Stream.
func (c *cursor) Next(ctx context.Context) (port.Chunk, error) {
	for {
		chunk, id, ok, err := c.next(ctx, ms(c.engine.opts.KeepaliveMs))
		switch {
		case err != nil:
			return port.Chunk{}, err
		case ctx.Err() != nil:
			return port.Chunk{}, errors.Wrap(port.ErrConnectionLost, ctx.Err().Error())
		case c.engine.isSilent(c):
			return port.Chunk{}, c.engine.awaitSilenceTimeout(ctx)
		case !ok:
			continue
		case id != c.requestID:
			return port.Chunk{}, errors.Wrapf(port.ErrRequestMismatch, "answer of %q for %q", id, c.requestID)
		}
		return chunk, nil
	}
}

// blockBytes is the encoded size of a block hash.
const blockBytes = 8

// encodeBlocks encodes exported KV data: the block hashes in big endian.
func encodeBlocks(blocks []uint64) []byte {
	out := make([]byte, 0, len(blocks)*blockBytes)
	for _, b := range blocks {
		out = binary.BigEndian.AppendUint64(out, b)
	}
	return out
}

func (e *Engine) importKV(data []byte) error {
	if len(data)%blockBytes != 0 {
		return errors.Wrap(port.ErrRunFailed, "KV data is torn")
	}
	var blocks []uint64
	for ; len(data) > 0; data = data[blockBytes:] {
		blocks = append(blocks, binary.BigEndian.Uint64(data))
	}
	e.importBlocks(blocks)
	return nil
}

// LocalDialer is a port.Dialer for engines in the same process. It is safe for
// concurrent use.
type LocalDialer struct{ engines sync.Map }

// Add makes an engine reachable at an address.
func (f *LocalDialer) Add(address string, e port.Engine) { f.engines.Store(address, e) }

// Remove makes the address unreachable.
func (f *LocalDialer) Remove(address string) { f.engines.Delete(address) }

// unreachable is an engine that is always down.
var unreachable = &Engine{downUntil: time.Unix(1<<40, 0)}

// Engine implements port.Dialer. For an unknown address it returns an engine that
// cannot be reached.
func (f *LocalDialer) Engine(address string) port.Engine {
	if e, ok := f.engines.Load(address); ok {
		return e.(port.Engine)
	}
	return unreachable
}
