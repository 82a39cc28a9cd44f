package revision

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/internal/configwire"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// marshal encodes a message. It panics on failure, which these messages cannot
// cause.
func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // a missing required field or invalid UTF-8
	}
	return b
}

func toWireHeader(h Header) *configwire.Header {
	return &configwire.Header{Kind: string(h.Kind), Name: h.Name, Version: uint64(h.Version), Deleted: h.Deleted}
}

func toWireHeaders(headers []Header) []*configwire.Header {
	out := make([]*configwire.Header, len(headers))
	for i, h := range headers {
		out[i] = toWireHeader(h)
	}
	return out
}

func fromWireHeaders(headers []*configwire.Header) []Header {
	out := make([]Header, len(headers))
	for i, h := range headers {
		out[i] = Header{
			Kind: objectstore.Kind(h.GetKind()), Name: h.GetName(),
			Version: objectstore.Version(h.GetVersion()), Deleted: h.GetDeleted(),
		}
	}
	return out
}

func toWireDigest(d KindDigest) *configwire.KindDigest {
	return &configwire.KindDigest{Kind: string(d.Kind), Floor: uint64(d.Floor), Hash: d.Hash, Complete: d.Complete}
}

func fromWireDigest(d *configwire.KindDigest) KindDigest {
	return KindDigest{
		Kind: objectstore.Kind(d.GetKind()), Floor: objectstore.Version(d.GetFloor()),
		Hash: d.GetHash(), Complete: d.GetComplete(),
	}
}

func toWireRecord(r *Record) *configwire.Record {
	w := &configwire.Record{
		Kind: string(r.Kind), Name: r.Name, Version: uint64(r.Version), Created: uint64(r.Created),
		Deleted: r.Deleted, Value: r.Value,
	}
	if r.LastGood != nil {
		w.Good = &configwire.Good{
			Version: uint64(r.LastGood.Version), Created: uint64(r.LastGood.Created), Value: r.LastGood.Value,
		}
	}
	return w
}

func fromWireRecord(w *configwire.Record) Record {
	r := Record{
		Object: objectstore.Object{
			Kind: objectstore.Kind(w.GetKind()), Name: w.GetName(),
			Version: objectstore.Version(w.GetVersion()), Created: objectstore.Version(w.GetCreated()), Value: w.GetValue(),
		},
		Deleted: w.GetDeleted(),
	}
	if g := w.GetGood(); g != nil {
		r.LastGood = &objectstore.Object{
			Kind: r.Kind, Name: r.Name, Value: g.GetValue(),
			Version: objectstore.Version(g.GetVersion()), Created: objectstore.Version(g.GetCreated()),
		}
	}
	return r
}

// toWireAnswer encodes a bucket list.
func toWireAnswer(list BucketList) *configwire.PullAnswer {
	answer := &configwire.PullAnswer{Digest: toWireDigest(list.KindDigest), Buckets: list.Buckets, Whole: list.Full}
	for _, h := range list.Headers {
		h.Kind = "" // the digest already names the kind
		answer.Headers = append(answer.Headers, toWireHeader(h))
	}
	return answer
}

// fromWireAnswer decodes a bucket list.
func fromWireAnswer(answer *configwire.PullAnswer) BucketList {
	return BucketList{
		KindDigest: fromWireDigest(answer.GetDigest()),
		Buckets:    answer.GetBuckets(),
		Full:       answer.GetWhole(),
		Headers:    fromWireHeaders(answer.GetHeaders()),
	}
}

// toWireAge encodes the age of a time in milliseconds; nil means never.
func toWireAge(now, t time.Time) *uint64 {
	if t.IsZero() {
		return nil
	}
	return proto.Uint64(uint64(max(0, now.Sub(t).Milliseconds())))
}

// maxWireAge limits an age reported by a peer.
const maxWireAge = 1000 * time.Hour

// fromWireAge decodes an age into a time; a zero time means never.
func fromWireAge(now time.Time, ms *uint64) time.Time {
	if ms == nil || *ms > uint64(maxWireAge.Milliseconds()) {
		return time.Time{}
	}
	return now.Add(-time.Duration(*ms) * time.Millisecond)
}
