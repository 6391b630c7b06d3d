// Package storage keeps a core node's durable state: named tables of keys and values in memory, changed by atomic writes
// that return once they are on disk.
//
// # File
//
// FileStore keeps one append-only file, as Bitcask does (Sheehy and Smith, 2010): a header, a snapshot of all tables as
// of the making of the file, and one record for each batch of writes since. A record carries a CRC-32C over its payload,
// its offset and a random number of the file, so that neither a torn write nor the bytes of a record that were copied
// into a value pass for one. Unlike Bitcask, all values are in memory, so there is one file and no index.
//
// Writes of many goroutines are appended and synced together (group commit; DeWitt et al., "Implementation Techniques
// for Main Memory Database Systems", SIGMOD 1984). Only one batch is under way at a time: so no more than the last
// record of the file can be incomplete, and recovery truncates that one. A damaged record with a valid one behind it had
// been synced, and is ErrCorrupt.
//
// Compaction writes the live data to a new file, syncs it, renames it over the old one and syncs the directory, before
// anything is appended to it. Pillai et al. ("All File Systems Are Not Created Equal", OSDI 2014) show why each of these
// steps is needed; package storagetest plays the losses of power between them.
//
// # Failures
//
// A write that the disk rejects as a whole or in part, such as one without space, is rolled back: its error is
// ErrWriteRejected, and the store takes writes again after RejectionBackoff. A failed sync ends the store, as the pages
// that it was to write may be marked clean by then (Rebello et al., "Can Applications Recover from fsync Failures?",
// USENIX ATC 2020): a new process has to read the file again.
package storage
