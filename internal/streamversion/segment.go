package streamversion

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// archivedRecord is a record for the archive.
type archivedRecord struct {
	stream  key
	version string
	expires time.Time
}

// segmentValue is a segment as it is archived. It names no time of day: readers keep a record
// for what was left of its life at the write, which is too long at worst.
type segmentValue struct {
	Versions []string `json:"versions"`
	// Records are packed: for each, in little-endian order, the stream's key (8 bytes), the
	// index of its version (2 bytes) and what is left of its life, in milliseconds (4 bytes).
	Records []byte `json:"records"`
}

// packedRecordBytes is the size of one packed record.
const packedRecordBytes = 8 + 2 + 4

// encodeSegment encodes the records that have not expired.
func encodeSegment(now time.Time, records []archivedRecord) ([]byte, error) {
	v := segmentValue{Versions: []string{}}
	for _, r := range records {
		left := min(r.expires.Sub(now), maxKeep)
		if left <= 0 {
			continue
		}
		i := slices.Index(v.Versions, r.version)
		if i < 0 {
			i = len(v.Versions)
			v.Versions = append(v.Versions, r.version)
		}
		v.Records = binary.LittleEndian.AppendUint64(v.Records, uint64(r.stream))
		v.Records = binary.LittleEndian.AppendUint16(v.Records, uint16(i))
		v.Records = binary.LittleEndian.AppendUint32(v.Records, uint32(left.Milliseconds()))
	}
	value, err := json.Marshal(v)
	return value, errors.Wrap(err, "encode a segment")
}

// decodeSegment decodes a segment that was first read at a time.
func decodeSegment(readAt time.Time, value []byte) ([]archivedRecord, error) {
	var v segmentValue
	if err := json.Unmarshal(value, &v); err != nil {
		return nil, errors.Wrap(err, "decode a segment")
	}
	if len(v.Records)%packedRecordBytes != 0 {
		return nil, errors.Errorf("a segment has %d bytes of records", len(v.Records))
	}
	out := make([]archivedRecord, 0, len(v.Records)/packedRecordBytes)
	for b := range slices.Chunk(v.Records, packedRecordBytes) {
		i := int(binary.LittleEndian.Uint16(b[8:]))
		if i >= len(v.Versions) {
			return nil, errors.Errorf("a segment has no version %d", i)
		}
		left := time.Duration(binary.LittleEndian.Uint32(b[10:])) * time.Millisecond
		out = append(out, archivedRecord{key(binary.LittleEndian.Uint64(b)), v.Versions[i], readAt.Add(min(left, maxKeep))})
	}
	return out, nil
}

// lastExpiry returns when the last of some records expires; zero: there are none.
func lastExpiry(records []archivedRecord) (last time.Time) {
	for _, r := range records {
		if r.expires.After(last) {
			last = r.expires
		}
	}
	return last
}
