package agent

import "time"

const (
	// minPenalty is how long a coordinator is passed over after its first failure; it doubles with each further one.
	minPenalty = 250 * time.Millisecond
	maxPenalty = 8 * time.Second
)

// coordinators remembers which coordinators have failed lately. It belongs to one goroutine.
type coordinators struct{ penalties map[string]penalty }

type penalty struct {
	length time.Duration
	until  time.Time
}

func newCoordinators() *coordinators { return &coordinators{penalties: make(map[string]penalty)} }

// choose returns the first candidate that is not to be passed over, or else the one whose penalty ends first, and
// whether it is free of a penalty. It returns "" if there is no candidate.
func (c *coordinators) choose(candidates []string, now time.Time) (address string, free bool) {
	var ends time.Time
	for _, candidate := range candidates {
		until := c.penalties[candidate].until
		if !now.Before(until) {
			return candidate, true
		}
		if address == "" || until.Before(ends) {
			address, ends = candidate, until
		}
	}
	return address, false
}

func (c *coordinators) failed(address string, now time.Time) {
	length := min(max(minPenalty, 2*c.penalties[address].length), maxPenalty)
	c.penalties[address] = penalty{length: length, until: now.Add(length)}
}

func (c *coordinators) worked(address string) { delete(c.penalties, address) }
