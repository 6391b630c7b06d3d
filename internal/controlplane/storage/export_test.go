package storage

// Functions that the tests of the file format use.
var (
	DecodeChanges = decodeChanges
	AppendChanges = appendChanges
)
