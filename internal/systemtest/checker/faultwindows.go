package checker

import "time"

// overlaps reports whether a fault touches the time from one moment to another, both included.
func (t Fault) overlaps(from, to time.Time) bool {
	return !t.From.After(to) && (t.To.IsZero() || !t.To.Before(from))
}

// within reports whether a moment, if it is set, lies between two others, both included.
func within(instant, from, to time.Time) bool {
	return !instant.IsZero() && !instant.Before(from) && !instant.After(to)
}

// inContact reports whether the rules that are bound by time hold for a machine at a moment.
func (c *checker) inContact(machine string, at time.Time) bool {
	from := at.Add(-c.Bounds.Contact)
	for _, fault := range c.Faults {
		if fault.Kind == MachineFault && fault.Machine == machine && fault.overlaps(from, at) {
			return false
		}
	}
	return machine != "" && c.coreStable(at)
}

// coreStable reports whether more than half of the core ran at a moment, and nothing has changed there for a while.
func (c *checker) coreStable(at time.Time) bool {
	from := at.Add(-c.Bounds.Contact)
	down := map[string]bool{}
	for _, fault := range c.Faults {
		if fault.Kind != MachineFault || !c.core[fault.Machine] {
			continue
		}
		if within(fault.From, from, at) || within(fault.To, from, at) {
			return false
		}
		if fault.overlaps(at, at) {
			down[fault.Machine] = true
		}
	}
	return 2*(len(c.core)-len(down)) > len(c.core)
}

// anyFault reports whether there was any fault in a span.
func (c *checker) anyFault(from, to time.Time) bool {
	for _, fault := range c.Faults {
		if fault.overlaps(from, to) {
			return true
		}
	}
	return false
}
