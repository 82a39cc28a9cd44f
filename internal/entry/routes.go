package entry

import (
	"runtime/debug"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/recover"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/request"
)

// Paths of the callers' API.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	pathServices    = "/services/"
)

// routes registers the handlers.
func (e *Entry) routes() {
	// A panic in one request must not end the process, which would lose all others.
	e.app.Use(recover.New(recover.Config{
		EnableStackTrace: true,
		StackTraceHandler: func(_ fiber.Ctx, p any) {
			e.log.WithField("panic", p).Error(string(debug.Stack()))
		},
	}))
	e.app.Post(pathChat, e.handler(func(x *exchange, ctx *fasthttp.RequestCtx) error {
		return x.generate(ctx, apiChat)
	}))
	e.app.Post(pathCompletions, e.handler(func(x *exchange, ctx *fasthttp.RequestCtx) error {
		return x.generate(ctx, apiCompletions)
	}))
	e.app.Get(pathModels, e.handler((*exchange).listModels))
	e.app.Get(pathModels+"/:model", e.handler((*exchange).showModel))
	e.app.All(pathServices+"*", e.handler((*exchange).callService))
}

// errStreaming: the answer is being streamed; the stream ends the exchange itself.
var errStreaming = errors.New("answer is streamed")

// handler wraps the handling of one request. An error is written as a refusal.
func (e *Entry) handler(serve func(*exchange, *fasthttp.RequestCtx) error) fiber.Handler {
	return func(c fiber.Ctx) error {
		ctx := c.RequestCtx()
		x, err := e.begin(ctx)
		if err == nil {
			err = serve(x, ctx)
		}
		if errors.Is(err, errStreaming) {
			return nil
		}
		if err != nil {
			discardBody(ctx)
			x.respondEarly(ctx, err)
		}
		x.reserveAnswer(ctx)
		x.end()
		return nil
	}
}

// respondEarly writes the response of a request that ended before its answer started.
func (x *exchange) respondEarly(ctx *fasthttp.RequestCtx, err error) {
	var stored *replayError
	if errors.As(err, &stored) {
		x.writeReplay(ctx, stored)
		return
	}
	r := asRefusal(err)
	if r.Reason == request.ReasonInternal {
		x.log.WithError(err).Error("request failed")
	}
	x.log.WithField("reason", string(r.Reason)).WithField("not_run", r.NotRun.JSON()).Debug(r.Message)
	x.entry.writeRefusal(ctx, x.id, r)
}

// writeReplay writes the stored answer of the first run.
func (x *exchange) writeReplay(ctx *fasthttp.RequestCtx, r *replayError) {
	ctx.Response.Header.SetContentType(r.outcome.ContentType)
	ctx.Response.Header.Set(headerReplayed, "true")
	ctx.Response.SetStatusCode(r.outcome.Status)
	x.entry.finishHeader(ctx, x.id)
	ctx.Response.SetBody(r.outcome.Answer)
}
