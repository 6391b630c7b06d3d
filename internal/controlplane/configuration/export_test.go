package configuration

// Close ends the announcements, as the end of Run does.
func (c *Configurator) Close() { c.close() }

// State returns the cached state, for the simulation.
func (c *Configurator) State() State { return c.cached() }
