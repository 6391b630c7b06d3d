package storage

// Change sets one key of a table. A nil Value deletes the key; with an empty Key too, it clears the whole table.
type Change struct {
	Table string `msgpack:"t"`
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v"`
}

// Store is a set of durable tables. All methods may be called at any time from any goroutine.
type Store interface {
	// Tables lists the tables that hold a key, sorted.
	Tables() []string
	// Table returns a copy of a table; its values must not be modified.
	Table(name string) map[string][]byte
	// Write applies changes in order, all or none, and returns once they will survive a loss of power. After an error
	// whose rpcerror.Execution is NotExecuted the store is as it was before, and takes later writes. After any other error
	// the changes may or may not be there, and the store takes no more writes.
	Write(changes ...Change) error
}
