// Package storage stores the durable state of a coordinator as named tables of keys and values. All tables are in memory.
// Writes are atomic and return once they are on disk.
//
// # File
//
// FileStore has one append-only file, like Bitcask (Sheehy and Smith, 2010). The file has a header, a snapshot of all tables
// at the time of its creation, and one record for each later batch of writes. Each record has a CRC-32C over its payload, its
// offset and the file's random ID. The checksum detects partial writes. It also keeps recovery from accepting the bytes of a
// record that were copied into a value. Unlike Bitcask, FileStore has all values in memory, so there is one file and no index.
//
// Concurrent writes are appended and synced together (group commit; DeWitt et al., "Implementation Techniques for Main
// Memory Database Systems", SIGMOD 1984). The store writes only one batch at a time, so only the last record of the file can
// be incomplete. Recovery truncates it. A damaged record that is followed by a valid one had been synced, and Open returns
// ErrCorrupt.
//
// Compaction writes the live data to a new file, syncs it, renames it over the old one and syncs the directory. Only then
// is anything appended to it. Pillai et al. ("All File Systems Are Not Created Equal", OSDI 2014) show why each of these
// steps is needed. Package storagetest simulates a power loss between them.
//
// # Failures
//
// A write that the disk rejects in whole or in part, for example for lack of space, is rolled back. Its error is
// ErrWriteRejected, and the store accepts writes again after RejectionBackoff. After a failed sync the store fails for good:
// the kernel may have marked the unwritten pages clean, so a second sync proves nothing (Rebello et al., "Can Applications
// Recover from fsync Failures?", USENIX ATC 2020). A new process has to read the file again.
package storage
