// Package chunks transfers a large content as chunks that are named by their checksums. A receiver that has an earlier version
// of the content fetches only the chunks that it lacks, keeps each one that arrives, and resumes at any other source.
//
// The sender splits the content ([Split], [NewChunking]) and sends its [Manifest], which lists the checksums of the chunks in
// order. The receiver makes an [Assembler] of the manifest and of the sources that it has, requests what is missing, and gets
// the content, checked against the manifest, once it is complete.
//
// Boundaries are content-defined: each depends on the bytes just before it only, so that a small edit of a large content
// changes few chunks. They are placed by a Gear rolling hash (Xia et al., "Ddelta: A Deduplication-Inspired Fast Delta
// Compression Approach", Performance Evaluation 79, 2014; the hash of FastCDC, USENIX ATC 2016, as well).
//
// All builds must split alike, or else a receiver finds no chunk of an earlier version. Nothing here does input or output or
// reads a clock.
package chunks
