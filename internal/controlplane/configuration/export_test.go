package configuration

// Close stops announcements, as Run does when it returns.
func (c *Configurator) Close() { c.close() }

// State returns the cached state.
func (c *Configurator) State() State { return c.cached() }
