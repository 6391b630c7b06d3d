package replication

// history retains the newest batches of a term, in order.
type history struct {
	limits     Limits
	catchingUp bool // a replica is catching up from a snapshot and needs the batches after it
	batches    []batch
	bytes      int
}

// add appends a batch and drops the oldest batches beyond the limits. It always retains the newest batch.
func (h *history) add(b batch) {
	h.batches = append(h.batches, b)
	h.bytes += b.bytes
	for len(h.batches) > 1 && h.exceedsLimits() {
		h.dropOldest()
	}
}

func (h *history) exceedsLimits() bool {
	if h.catchingUp {
		return h.bytes > h.limits.CatchUpBytes
	}
	return len(h.batches) > h.limits.RetainedBatches || h.bytes > h.limits.RetainedBytes
}

// withinRetention reports whether the batches after a position fit into half of the normal retention limits.
func (h *history) withinRetention(position Position) bool {
	count, sum := 0, 0
	for i := len(h.batches) - 1; i >= 0; i-- {
		count, sum = count+1, sum+h.batches[i].bytes
		if 2*count > h.limits.RetainedBatches || 2*sum > h.limits.RetainedBytes {
			return h.batches[i].position == position
		}
		if h.batches[i].position == position || h.batches[i].previous == position {
			return true
		}
	}
	return false
}

func (h *history) dropOldest() {
	h.bytes -= h.batches[0].bytes
	h.batches[0] = batch{}
	h.batches = h.batches[1:]
}

// discardThrough drops the batches up to an index. It always retains the newest batch.
func (h *history) discardThrough(index uint64) {
	for len(h.batches) > 1 && h.batches[0].position.Index <= index {
		h.dropOldest()
	}
}

// after returns the batches after a position merged into one batch. It merges at least one batch, and otherwise as many as fit
// into a message. It returns false if no retained batch starts at the position.
func (h *history) after(position Position) (batch, bool) {
	for i, b := range h.batches {
		if b.previous == position {
			return mergeBatches(h.batches[i : i+h.batchesPerMessage(i)]), true
		}
	}
	return batch{}, false
}

// batchesPerMessage returns how many consecutive batches, starting at index first, fit into a message. It is at least one.
func (h *history) batchesPerMessage(first int) int {
	count, sum := 1, h.batches[first].bytes
	for _, b := range h.batches[first+1:] {
		sum += b.bytes
		if sum > h.limits.ChunkBytes {
			break
		}
		count++
	}
	return count
}
