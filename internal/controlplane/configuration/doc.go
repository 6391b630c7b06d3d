// Package configuration replicates the operator's configuration. It defines the format and its validation, the routing table for
// the data plane, and the Configurator, which updates and reads the configuration.
//
// The configuration is the value of one replicated compare-and-swap register (package register). An update names the version
// that it is based on, like HTTP's If-Match (RFC 9110, section 13.1.1), and is applied only on top of that version. Versions
// only increase, and no update overwrites a version that its operator has not seen.
//
// Updates are idempotent. The register's value records the applied updates ([State]). If the operator sends an update again,
// because the answer was lost or to reach another node, it gets the same answer as before. An update is rejected only on the
// basis of a state that a majority had after the update arrived. Where no such state is known, the outcome is [Unclear] or
// [Unavailable], and the operator sends the update again.
//
// Members read the register at regular intervals, and immediately when another member announces a newer version. Between reads
// they use the cached configuration, and [Configurator.Fresh] reports whether it was confirmed recently. An announced version is
// not trusted by itself: the announcement only triggers a read.
package configuration
