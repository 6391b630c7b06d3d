package configuration

// Close ends the calls that tell other members, as the end of Run does.
func (c *Configurator) Close() { c.close() }

// State returns what the Configurator knows, for the model of several operators.
func (c *Configurator) State() State { return c.cached() }
