package fair

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against unfair shares: while all flows are backlogged, the work served
// per weight of any two differs by no more than two of the largest items.
func TestSharesByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g Group
		var q Queue[int]
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 5).Draw(t, "weights")
		maxCost := float64(rapid.IntRange(1, 1000).Draw(t, "maxCost"))
		flows := make([]Flow[int], len(weights))
		for i, weight := range weights {
			q.AddFlow(&flows[i], g.NewAccount(weight))
			for range 200 {
				cost := rapid.Float64Range(1, maxCost).Draw(t, "cost")
				q.Push(&flows[i], &Item[int]{Value: i, Cost: cost})
			}
		}
		served := make([]float64, len(weights))
		for backlogged(flows) {
			it := q.Pop()
			served[it.Value] += it.Cost / flows[it.Value].Weight()
			low, high := math.Inf(1), 0.0
			for _, perWeight := range served {
				low, high = min(low, perWeight), max(high, perWeight)
			}
			if high-low > 2*maxCost {
				t.Fatalf("work served per weight %v, largest item %v; want a difference of at most twice the largest item", served, maxCost)
			}
		}
	})
}

func backlogged(flows []Flow[int]) bool {
	for i := range flows {
		if flows[i].Len() == 0 {
			return false
		}
	}
	return true
}

// Guards against a flow that gains or loses more than the credit by being idle:
// without a credit both flows alternate, and with one the flow that was idle is
// served exactly the credit ahead of the other.
func TestIdleFlowGetsOnlyTheCredit(t *testing.T) {
	for credit, want := range map[float64][]string{0: {"bababa", "ababab"}, 5: {"bbbbbabab"}} {
		g := Group{IdleCredit: credit}
		var q Queue[string]
		var a, b Flow[string]
		q.AddFlow(&a, g.NewAccount(1))
		q.AddFlow(&b, g.NewAccount(1))
		for range 100 {
			q.Push(&a, &Item[string]{Value: "a", Cost: 1})
		}
		for range 50 {
			q.Pop()
		}
		for range 50 {
			q.Push(&b, &Item[string]{Value: "b", Cost: 1})
		}
		got := ""
		for range len(want[0]) {
			got += q.Pop().Value
		}
		if !slices.Contains(want, got) {
			t.Errorf("credit %v: order %q, want one of %q", credit, got, want)
		}
	}
}

// Guards against a wrong order within a flow (priority first, then age) and
// against sums that are not updated by Pop, Remove and CorrectCharge.
func TestOrderAndSums(t *testing.T) {
	var g Group
	var q Queue[string]
	var a Flow[string]
	account := g.NewAccount(1)
	q.AddFlow(&a, account)
	low := &Item[string]{Value: "low", Cost: 2}
	q.Push(&a, low)
	q.Push(&a, &Item[string]{Value: "first", Cost: 3, Priority: 1})
	q.Push(&a, &Item[string]{Value: "second", Cost: 5, Priority: 1})
	account.CorrectCharge(100)
	if got := q.Pop().Value; got != "first" {
		t.Errorf("popped %q, want \"first\"", got)
	}
	q.Remove(low)
	q.Remove(low)
	if q.Len() != 1 || q.Cost() != 5 || a.Cost() != 5 || low.Queued() {
		t.Errorf("queue length %d, cost %v, cost of the flow %v, want 1, 5 and 5, and the removed item not queued",
			q.Len(), q.Cost(), a.Cost())
	}
	if got := q.Pop().Value; got != "second" {
		t.Errorf("popped %q, want \"second\"", got)
	}
	if q.Pop() != nil || q.Cost() != 0 {
		t.Error("queue is not empty after its last item was popped")
	}
}

// Guards against accounts that are charged per queue: a team that was served
// alone in one queue must wait in the other until both teams were served as
// much.
func TestAccountsSpanQueues(t *testing.T) {
	var g Group
	var one, both Queue[string]
	a, b := g.NewAccount(1), g.NewAccount(1)
	var aOne, aBoth, bBoth Flow[string]
	one.AddFlow(&aOne, a)
	both.AddFlow(&aBoth, a)
	both.AddFlow(&bBoth, b)
	push := func(q *Queue[string], f *Flow[string], who string, n int) {
		for range n {
			q.Push(f, &Item[string]{Value: who, Cost: 10})
		}
	}
	push(&both, &bBoth, "b", 10)
	push(&both, &aBoth, "a", 10)
	push(&one, &aOne, "a", 3)
	for range 3 {
		one.Pop()
	}
	got := ""
	for range 8 {
		got += both.Pop().Value
	}
	// a was served three items in the other queue, so b gets three first; then
	// both alternate.
	if got != "bbbababa" {
		t.Errorf("order %q, want \"bbbababa\"", got)
	}
}

// Guards against refunds that are lost or counted twice: an overcharge is
// deducted from the next charges, and only once.
func TestRefundIsDeductedOnce(t *testing.T) {
	var g Group
	a := g.NewAccount(2)
	a.charge(10)
	a.CorrectCharge(-6)
	a.charge(4)
	a.charge(4)
	if a.tag != 6 || a.refund != 0 {
		t.Errorf("tag %v, refund %v, want 6 and 0", a.tag, a.refund)
	}
}
