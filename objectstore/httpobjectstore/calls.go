package httpobjectstore

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore/httpobjectstore/wire"
)

// Get implements objectstore.ObjectAPI.
func (c *Client) Get(ctx context.Context, kind objectstore.Kind, name string) (objectstore.Object, error) {
	var o objectstore.Object
	err := c.doWithRetry(ctx, operation{name: "get", method: fasthttp.MethodGet, path: wire.PathObject, args: objectArgs(kind, name)}, &o)
	return o, err
}

// List implements objectstore.ObjectAPI.
func (c *Client) List(ctx context.Context, kind objectstore.Kind, prefix string) (objectstore.List, error) {
	var l objectstore.List
	err := c.doWithRetry(ctx, operation{name: "list", method: fasthttp.MethodGet, path: wire.PathObjects, args: func(a *fasthttp.Args) {
		a.Set(wire.ArgKind, string(kind))
		a.Set(wire.ArgPrefix, prefix)
	}}, &l)
	return l, err
}

// Create implements objectstore.ObjectAPI.
func (c *Client) Create(ctx context.Context, kind objectstore.Kind, name string, value []byte) (objectstore.Version, error) {
	return c.write(ctx, operation{name: "create", method: fasthttp.MethodPut, body: value, args: func(a *fasthttp.Args) {
		objectArgs(kind, name)(a)
		a.Set(wire.ArgCreate, "true")
	}})
}

// Update implements objectstore.ObjectAPI.
func (c *Client) Update(ctx context.Context, kind objectstore.Kind, name string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	return c.write(ctx, operation{name: "update", method: fasthttp.MethodPut, body: value, args: conditionalArgs(kind, name, expected)})
}

// Delete implements objectstore.ObjectAPI.
func (c *Client) Delete(ctx context.Context, kind objectstore.Kind, name string, expected objectstore.Version) (objectstore.Version, error) {
	return c.write(ctx, operation{name: "delete", method: fasthttp.MethodDelete, args: conditionalArgs(kind, name, expected)})
}

// Watch implements objectstore.ObjectAPI with a long poll.
func (c *Client) Watch(ctx context.Context, kinds []objectstore.Kind, after objectstore.Version, wait time.Duration) ([]objectstore.Event, objectstore.Version, error) {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = string(k)
	}
	var w wire.WatchResponse
	err := c.doWithRetry(ctx, operation{name: "watch", method: fasthttp.MethodGet, path: wire.PathWatch, wait: wait, args: func(a *fasthttp.Args) {
		a.Set(wire.ArgKind, strings.Join(names, ","))
		a.Set(wire.ArgAfter, formatVersion(after))
		a.Set(wire.ArgWaitMs, strconv.FormatInt(wait.Milliseconds(), 10))
	}}, &w)
	return w.Events, w.Version, err
}

// VMs implements objectstore.VMList.
func (c *Client) VMs(ctx context.Context) ([]objectstore.VM, error) {
	var vms []objectstore.VM
	err := c.doWithRetry(ctx, operation{name: "vms", method: fasthttp.MethodGet, path: wire.PathVMs}, &vms)
	return vms, err
}

// Reserve implements objectstore.WeightStore. If a response is lost, a grant may have been
// used up; the caller gets an error and must ask again.
func (c *Client) Reserve(ctx context.Context, model, version string) (time.Duration, error) {
	var r wire.ReserveResponse
	err := c.do(ctx, operation{name: "reserve", method: fasthttp.MethodPost, path: wire.PathReserve, args: func(a *fasthttp.Args) {
		a.Set(wire.ArgModel, model)
		a.Set(wire.ArgVersion, version)
	}}, &r)
	return time.Duration(r.WaitMs) * time.Millisecond, err
}

// write does a conditional write, once. Without a version in the response its outcome is
// unknown.
func (c *Client) write(ctx context.Context, op operation) (objectstore.Version, error) {
	op.path = wire.PathObject
	var w wire.WriteResponse
	if err := c.do(ctx, op, &w); err != nil {
		return 0, err
	}
	if w.Version == 0 {
		return 0, errors.Wrap(objectstore.ErrUnknownOutcome, "response without a version")
	}
	return w.Version, nil
}

func objectArgs(kind objectstore.Kind, name string) func(*fasthttp.Args) {
	return func(a *fasthttp.Args) {
		a.Set(wire.ArgKind, string(kind))
		a.Set(wire.ArgName, name)
	}
}

func conditionalArgs(kind objectstore.Kind, name string, expected objectstore.Version) func(*fasthttp.Args) {
	return func(a *fasthttp.Args) {
		objectArgs(kind, name)(a)
		a.Set(wire.ArgExpected, formatVersion(expected))
	}
}

func formatVersion(v objectstore.Version) string { return strconv.FormatUint(uint64(v), 10) }
