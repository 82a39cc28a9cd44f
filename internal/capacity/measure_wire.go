package capacity

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// Names of the pool message series. Each is the payload of a message with one event or
// command; the envelope is in the transport series.
const (
	seriesEnqueueBytes        = "enqueue_bytes_by_blocks"
	seriesGrantBytes          = "grant_bytes"
	seriesProgressBytes       = "progress_bytes"
	seriesReleaseBytes        = "release_bytes"
	seriesHeartbeatBytes      = "session_heartbeat_bytes"
	seriesHeartbeatReplyBytes = "session_answer_bytes"
	seriesCodecSeconds        = "codec_seconds"
)

// wireRequestID is a generated request ID, for its real length.
var wireRequestID = request.NewID()

// wireGrantID is a grant ID whose epoch has the size of the random epochs of owners.
var wireGrantID = pool.GrantID{Epoch: 1 << 62, Seq: 100_000}

// codecRounds is the number of timed encodings and decodings.
const codecRounds = 20_000

func eventsBatch(events ...pool.Event) poolwire.Events {
	return poolwire.Events{
		Pool: "report-writer-v3-colombo-1", Entry: poolwire.NewEntryID("entry-kotte-hall-3", 1<<40),
		Session: 1 << 62, Seq: 1000, Ack: 1000, Events: events,
	}
}

func eventBytes(events ...pool.Event) float64 {
	return float64(len(poolwire.EncodeEvents(eventsBatch(events...))))
}

func commandBytes(brief *poolwire.Brief, commands ...pool.Command) float64 {
	return float64(len(poolwire.EncodeCommands(poolwire.Commands{
		Pool: "report-writer-v3-colombo-1", Session: 1 << 62, Seq: 1000, Ack: 1000, Epoch: 1 << 62,
		Brief: brief, Commands: commands,
	})))
}

// enqueueWithBlocks returns an Enqueue as an entry sends it, with random-looking
// hashes of n blocks.
func enqueueWithBlocks(n int) pool.Enqueue {
	e := rigRequest(n)
	e.Request, e.Fingerprint = wireRequestID, 1<<63|12345
	e.Blocks = make([]uint64, n)
	for i := range e.Blocks {
		e.Blocks[i] = 0x9e3779b97f4a7c15 * uint64(i+1)
	}
	return e
}

// measureWire measures the messages between entries and pool owners.
func measureWire(m *Measurements) {
	var enqueue []Point
	for _, blocks := range []int{0, 8, 24, 64, 128} {
		enqueue = append(enqueue, Point{float64(blocks), eventBytes(enqueueWithBlocks(blocks))})
	}
	m.Add(NewSeries(seriesEnqueueBytes, "payload with one Enqueue", "prompt blocks", "B", enqueue))
	addSingle := func(name, what string, bytes float64) {
		m.Add(NewSeries(name, what, "messages", "B", []Point{{1, bytes}}))
	}
	addSingle(seriesGrantBytes, "payload with one Grant",
		commandBytes(nil, pool.Grant{Request: wireRequestID, Grant: wireGrantID, Server: "engine-kotte-hall-12"}))
	addSingle(seriesProgressBytes, "payload with one Progress", eventBytes(pool.Progress{
		Request: wireRequestID, Grant: wireGrantID, Server: "engine-kotte-hall-12",
		FirstToken: 345678 * time.Microsecond, Tokens: 200, PerToken: 41234 * time.Microsecond,
	}))
	addSingle(seriesReleaseBytes, "payload with one Release", eventBytes(pool.Release{
		Request: wireRequestID, Grant: wireGrantID, Server: "engine-kotte-hall-12", FirstToken: 345678 * time.Microsecond,
		Total: 11234567 * time.Microsecond, OutputTokens: 273, PromptTokens: rigPromptTokens, PrefillComputed: 700,
	}))
	addSingle(seriesHeartbeatBytes, "payload of an entry's heartbeat in a session", eventBytes())
	brief := poolwire.BriefOf(newPoolRig(maxRigServers, 100).pool.Summary(time.Unix(0, 0)))
	addSingle(seriesHeartbeatReplyBytes, "payload of the owner's answer to a heartbeat, with the pool's brief", commandBytes(&brief))
	batch := eventsBatch(enqueueWithBlocks(rigBlocks))
	m.Add(NewSeries(seriesCodecSeconds, "encoding and decoding one Enqueue of 24 blocks", "messages", "s", []Point{{1,
		cpuPerOp(codecRounds, func() {
			for range codecRounds {
				_, _ = poolwire.DecodeEvents(poolwire.EncodeEvents(batch))
			}
		})}}))
}
