// Package engine is the port to model engines. An adapter speaks an engine's
// wire protocol; everything else sees only this package's interface and its
// typed errors.
package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of an Engine. Adapters wrap them; callers test with errors.Is.
var (
	// ErrNotSent: no byte of the request can have left (the connect failed).
	// The dispatch right may be given back.
	ErrNotSent = errors.New("request not sent")
	// ErrRefusedNotRun: the engine answered that it did not and will not run
	// the request.
	ErrRefusedNotRun = errors.New("engine refused, request not run")
	// ErrConnectionLost: the connection broke or went silent; the run may go on.
	// Resume may bring the rest.
	ErrConnectionLost = errors.New("connection to engine broken")
	// ErrUnknownRun: the engine does not know the run that was to be resumed
	// (it restarted, or never got the request).
	ErrUnknownRun = errors.New("engine does not know the run")
	// ErrRunFailed: the engine ran the request and reports a failure.
	ErrRunFailed = errors.New("engine failed the request")
	// ErrRequestMismatch: the answer carries another request's id and was discarded.
	ErrRequestMismatch = errors.New("answer of another request")
	// ErrStaleToken: the engine refused an order with an old fencing token.
	ErrStaleToken = errors.New("stale fencing token")
)

// Run is one request as an engine gets it.
type Run struct {
	RequestID string
	Model     string
	Version   string
	// Prompt is the canonical text: for a chat, its messages joined; Last is
	// the last user message.
	Prompt      string
	LastMessage string
	// PromptTokens is the entry's estimate; MaxTokens caps the answer.
	PromptTokens int
	MaxTokens    int
	// Blocks are chained hashes of the prompt's blocks, for prefix reuse.
	Blocks []uint64
	// BeforeSend, where set, is called at most once, when the connection is up
	// and directly before the first byte is written. If it returns an error,
	// nothing is written and Run returns an error that wraps ErrNotSent.
	//
	// What goes wrong without it: a dispatch right taken before the connect
	// would have to be given back when the connect fails, and then no single
	// place proves that a request left only once.
	BeforeSend func() error
}

// Chunk is one piece of an answer's text.
type Chunk struct {
	// Offset counts the tokens before this chunk; chunks are contiguous.
	Offset int
	// Tokens is how many tokens the chunk holds.
	Tokens int
	Text   string
	// End marks the last chunk. Only a stream whose End chunk was seen is a
	// whole answer.
	End bool
	// FinishReason is set on the End chunk: "stop" or "length".
	FinishReason string
	// PromptTokens and PrefillComputed are set on the End chunk: the prompt's
	// tokens, and how many of them were computed rather than found cached.
	PromptTokens    int
	PrefillComputed int
}

// Stream yields the chunks of one run. It is used by one goroutine at a time.
type Stream interface {
	// Next returns the next chunk. After the End chunk it returns io.EOF. It
	// returns ErrConnectionLost where the connection broke or no byte (chunk or
	// keepalive) arrived for the adapter's silence limit, ErrRequestMismatch where
	// the chunk names another request.
	Next(ctx context.Context) (Chunk, error)
	// Close gives the connection up. It does not cancel the run.
	Close() error
}

// LoadReport is an engine's own view of its load. It is stale by the time it
// is read: Age is how old the engine says it is (its lag) and never negative.
type LoadReport struct {
	Running     int
	Waiting     int
	KVUsed      float64 // fraction 0..1 of KV memory
	Slots       int
	Models      []LoadedModel
	Leaving     bool
	Warming     bool
	Incarnation uint64 // changes when the engine restarts
	Age         time.Duration
}

// LoadedModel is a model that an engine holds.
type LoadedModel struct {
	Model   string
	Version string
	Adapter string
	Role    string
}

// CacheEvent tells that a prefix block was stored or evicted. Events come
// late and with gaps: a jump in Seq is a gap and ages what is known.
type CacheEvent struct {
	Seq    uint64
	Block  uint64
	Stored bool // false: evicted
}

// OrderKind is what an order asks of an engine.
type OrderKind string

// The orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
	OrderDrain       OrderKind = "drain"
)

// Order changes what an engine serves. Token is the fencing token of the
// lease under which it was decided; some engines refuse an older one than
// they have seen, others ignore it.
type Order struct {
	Kind    OrderKind
	Model   string
	Version string
	Adapter string
	Role    string
	Token   uint64
}

// Engine is one model engine. Implementations are safe for concurrent use.
// No method ever sends a request twice by itself.
type Engine interface {
	// Run sends the request and returns its stream. Errors: ErrNotSent,
	// ErrRefusedNotRun, ErrConnectionLost (bytes may have left), ErrRunFailed.
	Run(ctx context.Context, r Run) (Stream, error)
	// Resume continues the run's stream at offset on a new connection. It
	// never starts a run. Errors: ErrNotSent, ErrUnknownRun, ErrConnectionLost.
	Resume(ctx context.Context, requestID string, offset int) (Stream, error)
	// Cancel stops the run and frees its slot.
	Cancel(ctx context.Context, requestID string) error
	// Load returns the engine's newest load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events after the sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// ExportKV and ImportKV move a prefix's KV cache between engines.
	ExportKV(ctx context.Context, blocks []uint64) ([]byte, error)
	ImportKV(ctx context.Context, data []byte) error
	// Order gives an order. Errors: ErrStaleToken, ErrConnectionLost.
	Order(ctx context.Context, o Order) error
}

// Dialer returns the engine at an address; it keeps one Engine per address.
type Dialer interface {
	Engine(address string) Engine
}
