package wire

import (
	"encoding/json"
	"testing"
	"unicode/utf8"

	"pgregory.net/rapid"
)

func TestLineRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Line{
			RequestID: []byte(rapid.String().Draw(t, "id")), Offset: rapid.IntRange(0, 1<<40).Draw(t, "offset"),
			Tokens: rapid.IntRange(0, 1000).Draw(t, "tokens"), Text: rapid.String().Draw(t, "text"),
		}
		switch rapid.SampledFrom([]string{"chunk", "end", "keepalive", "error"}).Draw(t, "kind") {
		case "end":
			want.End, want.FinishReason, want.PromptTokens, want.PrefillComputed = true, "stop", 7, 5
		case "keepalive":
			want = Line{RequestID: want.RequestID, Keepalive: true}
		case "error":
			want = Line{RequestID: want.RequestID, Error: "x" + want.Text}
		}
		data := AppendLine(nil, &want)
		var got Line
		if err := ParseLine(data[:len(data)-1], &got); err != nil || !equal(got, want) {
			t.Fatalf("%s: got %+v, want %+v, %v", data, got, want, err)
		}
		var std any
		if err := json.Unmarshal(data, &std); err != nil {
			t.Fatalf("%s is not valid JSON: %v", data, err)
		}
	})
}

// FuzzParseLine checks that ParseLine gives the same result as encoding/json.
func FuzzParseLine(f *testing.F) {
	f.Add([]byte(`{"request_id":"r","offset":0,"tokens":1,"text":"word","end":true,"finish_reason":"stop"}`))
	f.Add([]byte(`{"request_id":"r","keepalive":true}`))
	f.Add([]byte(`{"request_id":"r","offset":01,"text":"\u0000"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got Line
		err := ParseLine(data, &got)
		var j lineJSON
		stdErr := json.Unmarshal(data, &j)
		if (err == nil) != (stdErr == nil) {
			t.Fatalf("%q: %v, encoding/json: %v", data, err, stdErr)
		}
		want := Line{[]byte(j.RequestID), j.Keepalive, j.Offset, j.Tokens, j.Text, j.End, j.FinishReason, j.PromptTokens, j.PrefillComputed, j.Error}
		if err == nil && utf8.Valid(data) && !equal(got, want) {
			t.Fatalf("%q: got %+v, want %+v", data, got, want)
		}
	})
}

func equal(a, b Line) bool {
	same := string(a.RequestID) == string(b.RequestID)
	a.RequestID, b.RequestID = nil, nil
	return same && a.Keepalive == b.Keepalive && a.Offset == b.Offset && a.Tokens == b.Tokens && a.Text == b.Text &&
		a.End == b.End && a.FinishReason == b.FinishReason && a.PromptTokens == b.PromptTokens &&
		a.PrefillComputed == b.PrefillComputed && a.Error == b.Error
}
