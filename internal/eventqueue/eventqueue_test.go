package eventqueue

import (
	"sync"
	"testing"
)

// TestItemsOfEachSenderAreTakenOnceAndInOrder guards against lost, repeated and reordered items when several senders put items while
// the receiver takes them.
func TestItemsOfEachSenderAreTakenOnceAndInOrder(t *testing.T) {
	const senders = 8
	const itemsPerSender = 2000
	queue := New[[2]int]()
	var wg sync.WaitGroup
	for s := range senders {
		wg.Go(func() {
			for i := range itemsPerSender {
				queue.Put([2]int{s, i})
			}
		})
	}
	var next [senders]int
	var spare [][2]int
	for taken := 0; taken < senders*itemsPerSender; {
		<-queue.Ready()
		spare = queue.Take(spare)
		for _, item := range spare {
			if item[1] != next[item[0]] {
				t.Fatalf("sender %d: got item %d, want %d", item[0], item[1], next[item[0]])
			}
			next[item[0]]++
			taken++
		}
	}
	wg.Wait()
	if remaining := queue.Take(spare); len(remaining) > 0 {
		t.Fatalf("%d more items, want none", len(remaining))
	}
}
