// Package aggregatorstore keeps an aggregator's state on disk, in embedded databases (go.etcd.io/bbolt, a copy-on-write B+ tree):
// OverrideStore the operators' overrides with an audit trail of their changes, and Log the fleet's values and the log of its
// consensus. It decides nothing. What is saved is on disk once its transaction is, and never in part.
//
// Each record is behind a checksum of its own. A file is checked before the library opens it (pages.go), and read as a whole; one
// that is corrupt is renamed, and a new one made in its place.
package aggregatorstore
