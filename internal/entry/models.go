package entry

import (
	"encoding/json"
	"net/url"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/request"
)

// Content types of answers.
const (
	contentJSON = "application/json"
	contentSSE  = "text/event-stream"
)

// modelList and modelInfo follow OpenAI's format of a model list.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (x *exchange) modelInfo(name string) modelInfo {
	return modelInfo{ID: name, Object: "model", OwnedBy: x.workspace.Workspace}
}

// listModels returns the models of the caller's workspace.
func (x *exchange) listModels(ctx *fasthttp.RequestCtx) error {
	list := modelList{Object: "list", Data: []modelInfo{}}
	for name := range x.workspace.Models {
		list.Data = append(list.Data, x.modelInfo(name))
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	return x.writeJSON(ctx, list)
}

// showModel returns one model.
func (x *exchange) showModel(ctx *fasthttp.RequestCtx) error {
	raw := strings.TrimPrefix(string(ctx.Path()), pathModels+"/")
	name, err := url.PathUnescape(raw)
	if err != nil || x.workspace.Models[name] == nil {
		return request.Refuse(request.ReasonUnknownModel, "no model %q in this workspace", raw)
	}
	return x.writeJSON(ctx, x.modelInfo(name))
}

// writeJSON writes v as the response.
func (x *exchange) writeJSON(ctx *fasthttp.RequestCtx, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	ctx.Response.Header.SetContentType(contentJSON)
	x.entry.finishHeader(ctx, x.id)
	ctx.Response.SetBodyRaw(b)
	return nil
}
