package route

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

func testDocument(version uint64) Document {
	return Document{
		Version:  version,
		Services: []Service{{Name: "llm"}, {Name: "app"}},
		Routes: []Route{
			{Name: "wide", Host: "a.example", Prefix: "/x/", Timeout: time.Second, Targets: []Target{{"llm", 1}}},
			{Name: "narrow", Host: "A.example:80", Prefix: "/x/y/", Timeout: time.Second, Targets: []Target{{"llm", 9}, {"app", 1}}},
		},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	}
}

func TestLookup(t *testing.T) {
	Convey("Lookup finds the longest matching prefix of the same host", t, func() {
		table, findings := Compile("config/main", testDocument(1))
		So(findings, ShouldBeEmpty)
		for path, name := range map[string]string{"/x/": "wide", "/x/a": "wide", "/x/y/": "narrow", "/x/y/z": "narrow", "/x/y": "wide"} {
			So(table.Lookup("a.example", path).Name, ShouldEqual, name)
		}
		So(table.Lookup("A.EXAMPLE:8080", "/x/y/").Name, ShouldEqual, "narrow")
		So(table.Lookup("b.example", "/x/"), ShouldBeNil)
		So(table.Lookup("a.example", "/other/"), ShouldBeNil)
		So(table.ByKey("k2").Name, ShouldEqual, "w")
		So(table.ByKey(""), ShouldBeNil)
	})
	Convey("Requests are distributed among services by weight", t, func() {
		table, _ := Compile("config/main", testDocument(1))
		r := table.Lookup("a.example", "/x/y/")
		So(r.Pick(0), ShouldEqual, "llm")
		So(r.Pick(0.89), ShouldEqual, "llm")
		So(r.Pick(0.91), ShouldEqual, "app")
		So(r.Pick(1), ShouldEqual, "app")
	})
	Convey("All errors are reported together", t, func() {
		d := testDocument(1)
		d.Routes[0].Prefix, d.Routes[0].Timeout = "x", 0
		d.Routes[1].Targets = []Target{{"none", -1}}
		d.Workspaces = append(d.Workspaces, Workspace{Name: "other", Keys: []string{"k1"}})
		table, findings := Compile("config/main", d)
		So(table, ShouldBeNil)
		So(len(findings), ShouldEqual, 6)
	})
}

// Guards against requests that use a withdrawn route because an older table returned.
func TestLiveNeverGoesBack(t *testing.T) {
	Convey("An older or equal version does not take effect", t, func() {
		var l Live
		newer, _ := Compile("config/main", testDocument(7))
		older, _ := Compile("config/main", testDocument(6))
		So(l.Update(newer), ShouldBeTrue)
		So(l.Update(older), ShouldBeFalse)
		So(l.Update(newer), ShouldBeFalse)
		So(l.Load().Version, ShouldEqual, 7)
	})
}

func TestRepeatable(t *testing.T) {
	Convey("Only idempotent requests and resumable streams may be repeated", t, func() {
		So((&Route{Kind: Idempotent}).Repeatable(), ShouldBeTrue)
		So((&Route{Kind: NonIdempotent, Resumable: true}).Repeatable(), ShouldBeFalse)
		So((&Route{Kind: Stream}).Repeatable(), ShouldBeFalse)
		So((&Route{Kind: Stream, Resumable: true}).Repeatable(), ShouldBeTrue)
	})
}

func TestQuotaCost(t *testing.T) {
	Convey("A request costs its tokens, the default number of tokens, or one", t, func() {
		So(Quota{}.Cost(500), ShouldEqual, 1)
		So(Quota{Tokens: true, DefaultTokens: 200}.Cost(0), ShouldEqual, 200)
		So(Quota{Tokens: true, DefaultTokens: 200}.Cost(500), ShouldEqual, 500)
	})
}

func TestTiers(t *testing.T) {
	Convey("The workspace's tier decides first, then the route's", t, func() {
		first, second := request.Tier(0), request.Tier(1)
		d := testDocument(1)
		d.Routes[0].Tier, d.Routes[1].Tier = 0, 2
		d.Workspaces = []Workspace{{Name: "first", Tier: &first}, {Name: "second", Tier: &second}, {Name: "none"}}
		table, _ := Compile("config/main", d)
		wide, narrow := table.Lookup("a.example", "/x/"), table.Lookup("a.example", "/x/y/")
		order := []request.Tier{
			table.Tier(table.Workspaces[0], wide), table.Tier(table.Workspaces[0], narrow),
			table.Tier(table.Workspaces[1], wide), table.Tier(table.Workspaces[1], narrow), table.Tier(nil, narrow),
		}
		So(order, ShouldResemble, []request.Tier{0, 1, 2, 3, 4})
		So(table.Tier(table.Workspaces[2], wide), ShouldEqual, request.Tier(0))
	})
}
