// Package chunks splits large values into content-defined chunks, which are identified by their checksums. A receiver that has
// an earlier version of a value fetches only the chunks that it lacks. It keeps each chunk that arrives, and can resume the
// transfer from any other sender.
//
// The sender splits the content ([Split], [NewChunking]) and sends its [Manifest], which lists the checksums of the chunks in
// order. The receiver creates an [Assembler] from the manifest and its local chunk sources, and requests the missing chunks.
// [Assembler.Content] then returns the content, verified against the manifest.
//
// A chunk boundary depends only on the bytes directly before it, so a small edit of large content changes few chunks.
// Boundaries are placed by a Gear rolling hash (Xia et al., "Ddelta: A Deduplication-Inspired Fast Delta Compression
// Approach", Performance Evaluation 79, 2014). FastCDC (USENIX ATC 2016) uses the same hash.
//
// All builds must place the same boundaries. Otherwise a receiver cannot reuse any chunk of an earlier version. The package
// does no input or output and reads no clock.
package chunks
