// Package wire defines the messages of the model engines' HTTP protocol: JSON requests, and
// answers streamed as newline-delimited JSON.
//
// An answer stream has one JSON object per line. Each line carries the request's id, so that
// a line of another request is detected. The engine sends a keepalive line when it has
// generated nothing for a while, so that a broken connection can be told from a slow answer.
package wire

import "github.com/lycheekeel/lycheekeel/engine"

// Paths of the protocol.
const (
	PathRun         = "/engine/run"          // POST Run: answer stream
	PathResume      = "/engine/resume"       // POST Resume: answer stream
	PathCancel      = "/engine/cancel"       // POST Resume (offset unused)
	PathLoad        = "/engine/load"         // GET: Load
	PathCacheEvents = "/engine/cache-events" // GET ?after=N: CacheEvents
	PathExportKV    = "/engine/kv/export"    // POST Blocks: bytes
	PathImportKV    = "/engine/kv/import"    // POST bytes
	PathOrder       = "/engine/order"        // POST Order
)

// Run starts a run.
type Run struct {
	RequestID    string   `json:"request_id"`
	Model        string   `json:"model"`
	Version      string   `json:"version,omitempty"`
	Prompt       string   `json:"prompt"`
	LastMessage  string   `json:"last"`
	PromptTokens int      `json:"prompt_tokens"`
	MaxTokens    int      `json:"max_tokens"`
	Blocks       []uint64 `json:"blocks,omitempty"`
}

// Resume continues a run's stream at an offset in tokens.
type Resume struct {
	RequestID string `json:"request_id"`
	Offset    int    `json:"offset"`
}

// Blocks is a list of prefix blocks.
type Blocks struct {
	Blocks []uint64 `json:"blocks"`
}

// Model is a model that an engine has loaded.
type Model struct {
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Load is a load report.
type Load struct {
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	KVUsed      float64 `json:"kv_used"`
	Slots       int     `json:"slots"`
	Models      []Model `json:"models"`
	Leaving     bool    `json:"leaving"`
	Warming     bool    `json:"warming"`
	Incarnation uint64  `json:"incarnation"`
	AgeMs       float64 `json:"age_ms"`
}

// CacheEvent reports that a prefix block was stored or evicted.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

// CacheEvents is a batch of events in order of Seq.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// Order is an order with its fencing token.
type Order struct {
	Kind    engine.OrderKind `json:"kind"`
	Model   string           `json:"model,omitempty"`
	Version string           `json:"version,omitempty"`
	Adapter string           `json:"adapter,omitempty"`
	Role    string           `json:"role,omitempty"`
	Token   uint64           `json:"token"`
}

// Error is the body of every response whose status is not 200.
type Error struct {
	Message string `json:"message"`
	// NotRun is true if the engine did not and will not run the request.
	NotRun bool `json:"not_run"`
}
