// Package engine is the port to model engines. Adapters implement an engine's wire
// protocol; all other code uses only this package's interfaces and typed errors.
package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of an Engine. Adapters wrap them; callers test with errors.Is.
var (
	// ErrNotSent: no byte of the request can have left, e.g. after a failed connect.
	// The dispatch right may be returned.
	ErrNotSent = errors.New("request not sent")
	// ErrConnRefused is an ErrNotSent: no process listens at the engine's address.
	ErrConnRefused = errors.WithMessage(ErrNotSent, "no listener")
	// ErrRefusedNotRun: the engine reported that it did not and will not run the
	// request.
	ErrRefusedNotRun = errors.New("engine refused, request not run")
	// ErrConnectionLost: the connection broke or went silent. The run may continue,
	// and Resume may return the rest of its answer.
	ErrConnectionLost = errors.New("connection to engine lost")
	// ErrUnknownRun: the engine does not know the run to be resumed, because it was
	// restarted or never received the request.
	ErrUnknownRun = errors.New("engine does not know the run")
	// ErrRunFailed: the engine ran the request and reported a failure.
	ErrRunFailed = errors.New("engine failed the request")
	// ErrRequestMismatch: the answer carries another request's id and was discarded.
	ErrRequestMismatch = errors.New("answer belongs to another request")
	// ErrStaleToken: the engine refused an order with an outdated fencing token.
	ErrStaleToken = errors.New("stale fencing token")
)

// Run is one request in the form that an engine receives.
type Run struct {
	RequestID string
	Model     string
	Version   string
	// Prompt is the canonical text; for a chat, its messages joined. LastMessage is
	// the last user message.
	Prompt      string
	LastMessage string
	// PromptTokens is the entry's estimate. MaxTokens limits the answer.
	PromptTokens int
	MaxTokens    int
	// Blocks are the chained hashes of the prompt's blocks, for prefix reuse.
	Blocks []uint64
	// BeforeSend, if not nil, is called at most once, when the connection is up and
	// directly before the first byte is written. If it returns an error, nothing is
	// written and Run returns an error that wraps ErrNotSent.
	//
	// The dispatch right is taken here rather than before the connect, because a
	// failed connect would then have to return it, and no single place would prove
	// that a request is sent only once.
	BeforeSend func() error
}

// Chunk is one part of an answer's text.
type Chunk struct {
	// Offset is the number of tokens before this chunk. Chunks are contiguous.
	Offset int
	// Tokens is the number of tokens in this chunk.
	Tokens int
	Text   string
	// End marks the last chunk. An answer is complete only if its End chunk has
	// arrived.
	End bool
	// FinishReason is set on the End chunk: "stop" or "length".
	FinishReason string
	// PromptTokens and PrefillComputed are set on the End chunk: the number of prompt
	// tokens, and how many of them were computed instead of found in the cache.
	PromptTokens    int
	PrefillComputed int
}

// Stream returns the chunks of one run. It is used by one goroutine at a time.
type Stream interface {
	// Next returns the next chunk, and io.EOF after the End chunk. It returns
	// ErrConnectionLost if the connection broke or nothing (chunk or keepalive) arrived
	// within the adapter's silence timeout, and ErrRequestMismatch if a chunk carries
	// another request's id.
	Next(ctx context.Context) (Chunk, error)
	// Close closes the stream. It does not cancel the run.
	Close() error
}

// LoadReport is an engine's own view of its load. It is outdated by the time it is read:
// Age is its age as stated by the engine, and never negative.
type LoadReport struct {
	Running     int
	Waiting     int
	KVUsed      float64 // used fraction of KV memory, 0 to 1
	Slots       int
	Models      []LoadedModel
	Leaving     bool
	Warming     bool
	Incarnation uint64 // changes when the engine restarts
	Age         time.Duration
}

// LoadedModel is a model that an engine has loaded.
type LoadedModel struct {
	Model   string
	Version string
	Adapter string
	Role    string
}

// CacheEvent reports that a prefix block was stored or evicted. Events can be late and
// incomplete: a jump in Seq means that events were lost, so the known state of the cache
// is outdated.
type CacheEvent struct {
	Seq    uint64
	Block  uint64
	Stored bool // false: evicted
}

// OrderKind is the operation that an order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
	OrderDrain       OrderKind = "drain"
)

// Order is a command that changes what an engine serves. Token is the fencing token of
// the lease under which it was issued. Some engines refuse a token older than the newest
// they have seen; others ignore it.
type Order struct {
	Kind    OrderKind
	Model   string
	Version string
	Adapter string
	Role    string
	Token   uint64
}

// Engine is one model engine. Implementations are safe for concurrent use, and no method
// sends a request more than once.
type Engine interface {
	// Run sends the request and returns its stream. Errors: ErrNotSent,
	// ErrRefusedNotRun, ErrConnectionLost (bytes may have left), ErrRunFailed.
	Run(ctx context.Context, r Run) (Stream, error)
	// Resume continues the run's stream at offset on a new connection. It
	// never starts a run. Errors: ErrNotSent, ErrUnknownRun, ErrConnectionLost.
	Resume(ctx context.Context, requestID string, offset int) (Stream, error)
	// Cancel stops the run and frees its slot.
	Cancel(ctx context.Context, requestID string) error
	// Load returns the engine's latest load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events after the given sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// ExportKV and ImportKV transfer a prefix's KV cache between engines.
	ExportKV(ctx context.Context, blocks []uint64) ([]byte, error)
	ImportKV(ctx context.Context, data []byte) error
	// Order sends an order to the engine. Errors: ErrStaleToken, ErrConnectionLost.
	Order(ctx context.Context, o Order) error
}

// Dialer returns the engine at an address. It keeps one Engine for each address.
type Dialer interface {
	Engine(address string) Engine
}
