package eventqueue

import (
	"sync"
	"testing"
)

// Each sender's items come in its order, none is lost and none comes twice, however puts and takes fall.
func TestOrderAndNothingLost(t *testing.T) {
	const senders, each = 8, 2000
	box := New[[2]int]()
	var all sync.WaitGroup
	for s := range senders {
		all.Go(func() {
			for i := range each {
				box.Put([2]int{s, i})
			}
		})
	}
	var next [senders]int
	var spare [][2]int
	for got := 0; got < senders*each; {
		<-box.Ready()
		spare = box.Take(spare)
		for _, item := range spare {
			if item[1] != next[item[0]] {
				t.Fatalf("sender %d: got %d, expected %d", item[0], item[1], next[item[0]])
			}
			next[item[0]]++
			got++
		}
	}
	all.Wait()
	if rest := box.Take(spare); len(rest) > 0 {
		t.Fatalf("%d items too many", len(rest))
	}
}
