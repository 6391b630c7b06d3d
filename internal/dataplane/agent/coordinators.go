package agent

import "time"

const (
	// minPenalty is how long a coordinator is skipped after its first failure. The time doubles with each further failure.
	minPenalty = 250 * time.Millisecond
	// maxPenalty limits the time for which a coordinator is skipped.
	maxPenalty = 8 * time.Second
)

// coordinatorSelector selects the coordinator to call and skips those that failed recently. It is not safe for concurrent use.
type coordinatorSelector struct{ penalties map[string]penalty }

// penalty is the period in which a coordinator is skipped after failures.
type penalty struct {
	duration time.Duration
	until    time.Time
}

func newCoordinatorSelector() *coordinatorSelector {
	return &coordinatorSelector{penalties: make(map[string]penalty)}
}

// choose returns the first candidate without a penalty and true. If all candidates have penalties, it returns the one whose
// penalty ends first and false. It returns "" and false if there are no candidates.
func (c *coordinatorSelector) choose(candidates []string, now time.Time) (address string, available bool) {
	var earliest time.Time
	for _, candidate := range candidates {
		until := c.penalties[candidate].until
		if !now.Before(until) {
			return candidate, true
		}
		if address == "" || until.Before(earliest) {
			address, earliest = candidate, until
		}
	}
	return address, false
}

// recordFailure sets the penalty of a coordinator after a failed call. A penalty that follows another one is twice as long, up to
// maxPenalty.
func (c *coordinatorSelector) recordFailure(address string, now time.Time) {
	duration := min(max(minPenalty, 2*c.penalties[address].duration), maxPenalty)
	c.penalties[address] = penalty{duration: duration, until: now.Add(duration)}
}

// recordSuccess clears the penalty of a coordinator.
func (c *coordinatorSelector) recordSuccess(address string) { delete(c.penalties, address) }
