package storage

// What the tests of the file's format use.
var (
	DecodeChanges = decodeChanges
	AppendChanges = appendChanges
)
