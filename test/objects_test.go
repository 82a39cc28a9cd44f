package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// put creates a configuration object or replaces its current version.
func (c *cluster) put(kind objectstore.Kind, name string, v any) objectstore.Version {
	c.t.Helper()
	value, err := json.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx := c.t.Context()
	old, err := c.api.Get(ctx, kind, name)
	var version objectstore.Version
	if err != nil {
		version, err = c.api.Create(ctx, kind, name, value)
	} else {
		version, err = c.api.Update(ctx, kind, name, value, old.Version)
	}
	if err != nil {
		c.t.Fatalf("put %s/%s: %v", kind, name, err)
	}
	return version
}

func (c *cluster) awaitHTTP(address, path string) {
	c.t.Helper()
	eventually(c.t, "http://"+address+path+" answers 200", func() bool {
		resp, err := http.Get("http://" + address + path)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// getJSON reads a JSON response into v. It leaves v unchanged if there is no response.
func (c *cluster) getJSON(address, path string, v any) {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(v)
}

func (c *cluster) post(address, path, body string) {
	c.t.Helper()
	resp, err := http.Post("http://"+address+path, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		answer, _ := io.ReadAll(resp.Body)
		c.t.Fatalf("POST %s: %d %s", path, resp.StatusCode, answer)
	}
}

// configure writes the configuration of the test.
func (c *cluster) configure(p clusterSpec) {
	c.t.Helper()
	c.put(workspace.KindTemplate, "snagging", testTemplate())
	c.put(workspace.KindPool, testPool, workspace.Pool{Name: testPool, Region: testRegion, Model: testModel, Version: "v1"})
	c.put(workspace.KindPool, testService, workspace.Pool{Name: testService, Region: testRegion, Service: testService})
	c.put(workspace.KindWorkspace, "kotte", testWorkspace())
	for i, e := range c.engines {
		c.put(workspace.KindBackendServer, e.name, c.backendServer(e, i, p))
	}
	c.put(workspace.KindBackendServer, c.service.name, workspace.BackendServer{
		Name: c.service.name, Address: c.service.link.proxy.Addr(), Region: testRegion,
		AvailabilityZone: "hall-0", Pool: testService, Slots: serviceSlots,
	})
}

// backendServer returns the configuration object of an engine.
func (c *cluster) backendServer(e *backend, number int, p clusterSpec) workspace.BackendServer {
	return workspace.BackendServer{
		Name: e.name, Address: e.link.proxy.Addr(), Region: testRegion, Generation: "g1",
		AvailabilityZone: fmt.Sprintf("hall-%d", number%3), Pool: testPool, Slots: p.slots,
		ChecksTokens: p.checksTokens,
	}
}
