package storage

// Change sets one key of a table. A nil Value deletes the key; with an empty Key too, it clears the whole table.
type Change struct {
	Table string `msgpack:"t"`
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v"`
}

// Store is a set of durable tables. All methods are safe for concurrent use.
type Store interface {
	// Tables returns the sorted names of the tables that have at least one key.
	Tables() []string
	// Table returns a copy of a table. Its values must not be modified.
	Table(name string) map[string][]byte
	// Write applies the changes in order, all or none of them. It returns once they survive a power loss. After an error whose
	// rpcerror.Execution is NotExecuted the store is unchanged and accepts later writes. After any other error the changes may
	// or may not have been applied, and the store accepts no more writes.
	Write(changes ...Change) error
}
