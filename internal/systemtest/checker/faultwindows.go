package checker

import "time"

// overlaps reports whether the fault was active at any time in the closed interval from..to.
func (t Fault) overlaps(from, to time.Time) bool {
	return !t.From.After(to) && (t.To.IsZero() || !t.To.Before(from))
}

// between reports whether an instant is set and lies in the closed interval from..to.
func between(instant, from, to time.Time) bool {
	return !instant.IsZero() && !instant.Before(from) && !instant.After(to)
}

// inContact reports whether the rules with time limits apply to a machine at an instant: neither it nor the core had a recent
// fault, except that a minority of the core may be down.
func (c *checker) inContact(machine string, at time.Time) bool {
	from := at.Add(-c.Bounds.Contact)
	for _, fault := range c.Faults {
		if fault.Kind == MachineFault && fault.Machine == machine && fault.overlaps(from, at) {
			return false
		}
	}
	return machine != "" && c.coreStable(at)
}

// coreStable reports whether more than half of the core ran at an instant, and no fault in the core had started or ended within
// Bounds.Contact before.
func (c *checker) coreStable(at time.Time) bool {
	from := at.Add(-c.Bounds.Contact)
	down := map[string]bool{}
	for _, fault := range c.Faults {
		if fault.Kind != MachineFault || !c.core[fault.Machine] {
			continue
		}
		if between(fault.From, from, at) || between(fault.To, from, at) {
			return false
		}
		if fault.overlaps(at, at) {
			down[fault.Machine] = true
		}
	}
	return 2*(len(c.core)-len(down)) > len(c.core)
}

// anyFault reports whether any fault was active in the closed interval from..to.
func (c *checker) anyFault(from, to time.Time) bool {
	for _, fault := range c.Faults {
		if fault.overlaps(from, to) {
			return true
		}
	}
	return false
}
