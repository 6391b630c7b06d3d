package eventqueue

import (
	"sync"
	"testing"
)

// TestItemsOfEachSenderAreTakenOnceAndInOrder puts and takes concurrently.
func TestItemsOfEachSenderAreTakenOnceAndInOrder(t *testing.T) {
	const senders, each = 8, 2000
	queue := New[[2]int]()
	var all sync.WaitGroup
	for s := range senders {
		all.Go(func() {
			for i := range each {
				queue.Put([2]int{s, i})
			}
		})
	}
	var next [senders]int
	var spare [][2]int
	for got := 0; got < senders*each; {
		<-queue.Ready()
		spare = queue.Take(spare)
		for _, item := range spare {
			if item[1] != next[item[0]] {
				t.Fatalf("sender %d: got %d, expected %d", item[0], item[1], next[item[0]])
			}
			next[item[0]]++
			got++
		}
	}
	all.Wait()
	if rest := queue.Take(spare); len(rest) > 0 {
		t.Fatalf("%d items too many", len(rest))
	}
}
