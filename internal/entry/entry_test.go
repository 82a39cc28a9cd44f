package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	. "github.com/smartystreets/goconvey/convey"

	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
)

// client returns the official OpenAI client, with retries turned off.
func (r *rig) client() openai.Client {
	return openai.NewClient(option.WithBaseURL(r.url+"/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
}

func chatParams(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    testModel,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// post sends a body with the test key and additional headers.
func (r *rig) post(path string, body []byte, header ...string) (*http.Response, []byte) {
	req, err := http.NewRequest(http.MethodPost, r.url+path, bytes.NewReader(body))
	if err != nil {
		r.tb.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.tb.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		r.tb.Logf("body: %v", err)
	}
	return resp, answer
}

// refusalOf returns the code and not_run of a refusal's body.
func refusalOf(body []byte) (string, any) {
	var e errorBody
	if json.Unmarshal(body, &e) != nil {
		return "", nil
	}
	return e.Error.Code, e.Error.NotRun
}

func TestOpenAIClient(t *testing.T) {
	Convey("The official OpenAI client understands the responses", t, func() {
		r := newRig(t, standin.Options{}, Limits{}, longSilence)
		c := r.client()
		ctx := context.Background()

		Convey("a plain completion of a chat", func() {
			got, err := c.Chat.Completions.New(ctx, chatParams("echo:one tile"))
			So(err, ShouldBeNil)
			So(got.Choices[0].Message.Content, ShouldEqual, "one tile")
			So(got.Choices[0].FinishReason, ShouldEqual, "stop")
			So(got.Usage.CompletionTokens, ShouldBeGreaterThan, 0)
		})
		Convey("a streamed chat with usage", func() {
			p := chatParams("echo:two tiles are cracked in the hall")
			p.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
			s := c.Chat.Completions.NewStreaming(ctx, p)
			var acc openai.ChatCompletionAccumulator
			for s.Next() {
				acc.AddChunk(s.Current())
			}
			So(s.Err(), ShouldBeNil)
			So(acc.Choices[0].Message.Content, ShouldEqual, "two tiles are cracked in the hall")
			So(string(acc.Choices[0].Message.Role), ShouldEqual, "assistant")
			So(acc.Choices[0].FinishReason, ShouldEqual, "stop")
			So(acc.Usage.CompletionTokens, ShouldBeGreaterThan, 0)
		})
		Convey("completions and models", func() {
			got, err := c.Completions.New(ctx, openai.CompletionNewParams{
				Model: testModel, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("echo:old call")},
			})
			So(err, ShouldBeNil)
			So(got.Choices[0].Text, ShouldEqual, "old call")
			models, err := c.Models.List(ctx)
			So(err, ShouldBeNil)
			So(len(models.Data), ShouldEqual, 3)
			m, err := c.Models.Get(ctx, testModel)
			So(err, ShouldBeNil)
			So(m.ID, ShouldEqual, testModel)
		})
		Convey("a refusal is a typed error", func() {
			p := chatParams("echo: x")
			p.Model = "unknown"
			_, err := c.Chat.Completions.New(ctx, p)
			var e *openai.Error
			So(err, ShouldHaveSameTypeAs, e)
			So(err.(*openai.Error).Code, ShouldEqual, "unknown_model")
			So(err.(*openai.Error).StatusCode, ShouldEqual, http.StatusNotFound)
		})
	})
}

// Guards against: a caller receives another caller's answer.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	const callers = 2000
	Convey("2,000 concurrent callers each get their own complete answer", t, func() {
		r := newRig(t, standin.Options{Slots: callers, PrefillPerSecond: 1e9, PrefillChunk: 1 << 20, SequenceMs: 0.001}, Limits{}, longSilence)
		wrong := make(chan string, callers)
		var all sync.WaitGroup
		start := make(chan struct{})
		for i := range callers {
			all.Go(func() {
				<-start
				want := echoText(i)
				got, err := r.echo(want, i%2 == 0)
				if err != nil || got != want {
					wrong <- fmt.Sprintf("caller %d: got %q, want %q, error %v", i, got, want, err)
				}
			})
		}
		close(start)
		all.Wait()
		close(wrong)
		for w := range wrong {
			So(w, ShouldBeEmpty)
		}
		So(r.counter(groupRequests, "whole_answers"), ShouldEqual, callers)
		So(len(r.engine.Runs()), ShouldEqual, callers)
	})
}

// echo requests a text and returns the text of the answer, or an error if the answer is
// incomplete.
func (r *rig) echo(text string, stream bool) (string, error) {
	c := r.client()
	ctx := context.Background()
	if !stream {
		got, err := c.Chat.Completions.New(ctx, chatParams("echo:"+text))
		if err != nil {
			return "", err
		}
		return got.Choices[0].Message.Content, nil
	}
	s := c.Chat.Completions.NewStreaming(ctx, chatParams("echo:"+text))
	var b strings.Builder
	finish := ""
	for s.Next() {
		choice := s.Current().Choices[0]
		b.WriteString(choice.Delta.Content)
		finish = choice.FinishReason
	}
	if s.Err() == nil && finish != "stop" {
		return "", fmt.Errorf("stream ended without a finish reason")
	}
	return b.String(), s.Err()
}
