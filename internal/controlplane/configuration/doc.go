// Package configuration holds the operator's configuration: its format and checks, the routing table that the data plane looks
// up, and the Configurator, which updates and reads it.
//
// The configuration is the value of one replicated compare-and-swap register (package register). An update names the version
// that it is built on, as HTTP's If-Match does (RFC 9110, section 13.1.1), and is applied only on top of that version: versions
// rise, and no update overwrites one that its operator has not seen.
//
// Updates are idempotent. The register's value records the updates that were applied ([State]), so that one which is sent again,
// after an answer was lost or to another node, is answered as it was before. An update is refused only on a state that a majority
// had after the update arrived; where that cannot be told, its outcome is [Unclear] or [Unavailable], and the operator sends it
// again.
//
// Members read the register at intervals, and at once when another member announces a newer version; what they know in between is
// current as far as [Configurator.Fresh] says. Announcements are no source of truth: they only cause a read.
package configuration
