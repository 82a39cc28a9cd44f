package tier

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/request"
)

var start = time.Unix(1_000_000, 0)

func drawItem(t *rapid.T, n int) *Item[int] {
	return &Item[int]{
		Tier:      request.Tier(rapid.IntRange(0, 3).Draw(t, "tier")),
		Class:     Class(rapid.SampledFrom([]Class{OnTime, Late}).Draw(t, "class")),
		Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
		Due:       start.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "due")) * time.Second),
		Expires:   start.Add(time.Duration(rapid.IntRange(1, 99).Draw(t, "expires")) * time.Second),
		Cost:      float64(rapid.IntRange(1, 500).Draw(t, "cost")),
		Value:     n,
	}
}

// TestQueueMatchesModel compares the queue with a plain list: counts, heads, the
// eviction victim and expiry agree after any sequence of pushes, removals, class
// changes and charges.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, list := NewQueue[int](), []*Item[int]{}
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n++
				it := drawItem(t, n)
				q.Push(it)
				list = append(list, it)
			},
			"remove": func(t *rapid.T) {
				if len(list) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(list)-1).Draw(t, "i")
				q.Remove(list[i])
				list = slices.Delete(list, i, i+1)
			},
			"reclass": func(t *rapid.T) {
				if len(list) == 0 {
					t.Skip()
				}
				q.SetClass(rapid.SampledFrom(list).Draw(t, "item"), rapid.SampledFrom([]Class{OnTime, Held, Late}).Draw(t, "to"))
			},
			"charge": func(t *rapid.T) {
				if len(list) > 0 {
					q.Charge(rapid.SampledFrom(list).Draw(t, "item"))
				}
			},
			"": func(t *rapid.T) { checkQueue(t, q, list) },
		})
	})
}

func checkQueue(t *rapid.T, q *Queue[int], list []*Item[int]) {
	if q.Len() != len(list) {
		t.Fatalf("queue has %d items, want %d", q.Len(), len(list))
	}
	for tr := range request.Tier(4) {
		for c := range Class(numClasses) {
			checkClass(t, q, tr, c, slices.DeleteFunc(slices.Clone(list), func(it *Item[int]) bool { return it.Tier != tr || it.Class != c }))
		}
	}
	if last := q.Victim(); last != nil {
		for _, it := range list {
			if it.Tier > last.Tier || it.Tier == last.Tier && it.Class > last.Class {
				t.Fatalf("victim of tier %d, class %d before tier %d, class %d", last.Tier, last.Class, it.Tier, it.Class)
			}
			if it.Workspace == last.Workspace && it.Tier == last.Tier && it.Class == last.Class && it.Due.After(last.Due) {
				t.Fatalf("victim due %v before an item due %v", last.Due, it.Due)
			}
		}
	}
	for _, it := range list {
		if first := q.Expired(start.Add(time.Hour)); first.Expires.After(it.Expires) {
			t.Fatalf("item that expires at %v comes before one that expires at %v", first.Expires, it.Expires)
		}
	}
}

func checkClass(t *rapid.T, q *Queue[int], tr request.Tier, c Class, want []*Item[int]) {
	head := q.Head(tr, c)
	if (head == nil) != (len(want) == 0) {
		t.Fatalf("tier %d, class %d: head is %v of %d items", tr, c, head, len(want))
	}
	for _, it := range want {
		if it.flow.virtualTime < head.flow.virtualTime {
			t.Fatalf("workspace %s is scheduled before %s, which has received less service", head.Workspace, it.Workspace)
		}
		if it.Workspace == head.Workspace && it.Due.Before(head.Due) {
			t.Fatalf("item due %v is scheduled before one due %v", head.Due, it.Due)
		}
	}
	all := func(int) bool { return true }
	candidates := q.Candidates(tr, c, 5, all, nil)
	if len(want) > 0 && (candidates[0] != head || len(candidates) < min(3, len(want))) {
		t.Fatalf("candidates are %v of %d items", candidates, len(want))
	}
	even := func(v int) bool { return v%2 == 0 }
	for _, it := range q.Candidates(tr, c, 5, even, nil) {
		if !even(it.Value) {
			t.Fatalf("%v is no eligible candidate", it)
		}
	}
}

// TestFairnessBound checks that workspaces with a constant backlog receive the
// same service, up to twice the cost of the largest request.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int]()
		served := map[string]float64{}
		sizes := rapid.SliceOfN(rapid.IntRange(1, 1000), 3, 3).Draw(t, "sizes")
		names := []string{"a", "b", "c"}
		add := func(i int) {
			cost := rapid.IntRange(1, sizes[i]).Draw(t, "cost")
			q.Push(&Item[int]{Workspace: names[i], Due: start, Cost: float64(cost), Value: i})
		}
		for i := range names {
			add(i)
		}
		for range rapid.IntRange(10, 200).Draw(t, "rounds") {
			it := q.Head(0, OnTime)
			add(it.Value)
			q.Remove(it)
			q.Charge(it)
			served[it.Workspace] += it.Cost
			for _, a := range names {
				for _, b := range names {
					if d := served[a] - served[b]; d > 2*float64(slices.Max(sizes)) {
						t.Fatalf("workspace %s has received %v tokens more than %s", a, d, b)
					}
				}
			}
		}
	})
}
