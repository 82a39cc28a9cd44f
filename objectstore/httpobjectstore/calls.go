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
	err := c.read(ctx, call{name: "get", method: fasthttp.MethodGet, path: wire.PathObject, args: object(kind, name)}, &o)
	return o, err
}

// List implements objectstore.ObjectAPI.
func (c *Client) List(ctx context.Context, kind objectstore.Kind, prefix string) (objectstore.List, error) {
	var l objectstore.List
	err := c.read(ctx, call{name: "list", method: fasthttp.MethodGet, path: wire.PathObjects, args: func(a *fasthttp.Args) {
		a.Set(wire.ArgKind, string(kind))
		a.Set(wire.ArgPrefix, prefix)
	}}, &l)
	return l, err
}

// Create implements objectstore.ObjectAPI.
func (c *Client) Create(ctx context.Context, kind objectstore.Kind, name string, value []byte) (objectstore.Version, error) {
	return c.change(ctx, call{name: "create", method: fasthttp.MethodPut, body: value, args: func(a *fasthttp.Args) {
		object(kind, name)(a)
		a.Set(wire.ArgCreate, "true")
	}})
}

// Update implements objectstore.ObjectAPI.
func (c *Client) Update(ctx context.Context, kind objectstore.Kind, name string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	return c.change(ctx, call{name: "update", method: fasthttp.MethodPut, body: value, args: conditional(kind, name, expected)})
}

// Delete implements objectstore.ObjectAPI.
func (c *Client) Delete(ctx context.Context, kind objectstore.Kind, name string, expected objectstore.Version) (objectstore.Version, error) {
	return c.change(ctx, call{name: "delete", method: fasthttp.MethodDelete, args: conditional(kind, name, expected)})
}

// Watch implements objectstore.ObjectAPI by a long poll.
func (c *Client) Watch(ctx context.Context, kinds []objectstore.Kind, after objectstore.Version, wait time.Duration) ([]objectstore.Event, objectstore.Version, error) {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = string(k)
	}
	var w wire.Watched
	err := c.read(ctx, call{name: "watch", method: fasthttp.MethodGet, path: wire.PathWatch, wait: wait, args: func(a *fasthttp.Args) {
		a.Set(wire.ArgKind, strings.Join(names, ","))
		a.Set(wire.ArgAfter, decimal(after))
		a.Set(wire.ArgWaitMs, strconv.FormatInt(wait.Milliseconds(), 10))
	}}, &w)
	return w.Events, w.Version, err
}

// VMs implements objectstore.VMList.
func (c *Client) VMs(ctx context.Context) ([]objectstore.VM, error) {
	var vms []objectstore.VM
	err := c.read(ctx, call{name: "vms", method: fasthttp.MethodGet, path: wire.PathVMs}, &vms)
	return vms, err
}

// Reserve implements objectstore.WeightStore. A lost answer may have used up a
// grant: it reads as an error and the caller asks again.
func (c *Client) Reserve(ctx context.Context, model, version string) (time.Duration, error) {
	var r wire.Reserved
	err := c.write(ctx, call{name: "reserve", method: fasthttp.MethodPost, path: wire.PathReserve, args: func(a *fasthttp.Args) {
		a.Set(wire.ArgModel, model)
		a.Set(wire.ArgVersion, version)
	}}, &r)
	return time.Duration(r.WaitMs) * time.Millisecond, err
}

// change does a conditional write, once. An answer without a version is none.
func (c *Client) change(ctx context.Context, k call) (objectstore.Version, error) {
	k.path = wire.PathObject
	var w wire.Written
	if err := c.write(ctx, k, &w); err != nil {
		return 0, err
	}
	if w.Version == 0 {
		return 0, errors.Wrap(objectstore.ErrUnknownOutcome, "answer without a version")
	}
	return w.Version, nil
}

func object(kind objectstore.Kind, name string) func(*fasthttp.Args) {
	return func(a *fasthttp.Args) {
		a.Set(wire.ArgKind, string(kind))
		a.Set(wire.ArgName, name)
	}
}

func conditional(kind objectstore.Kind, name string, expected objectstore.Version) func(*fasthttp.Args) {
	return func(a *fasthttp.Args) {
		object(kind, name)(a)
		a.Set(wire.ArgExpected, decimal(expected))
	}
}

func decimal(v objectstore.Version) string { return strconv.FormatUint(uint64(v), 10) }
