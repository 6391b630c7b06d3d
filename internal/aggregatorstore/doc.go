// Package aggregatorstore stores an aggregator's state on disk, in embedded databases (go.etcd.io/bbolt, a copy-on-write B+
// tree). OverrideStore stores the operators' overrides and an audit trail of their changes. Log stores named values and the
// consensus log of the fleet.
//
// Every save is one transaction, so it is written as a whole or not at all. A save is on disk when its callback reports
// success. Each record has its own checksum. When a file is opened, its pages are checked first (pages.go), before the
// library reads them, and then its records are read. A corrupt file is renamed and replaced by a new one.
//
// The package makes no decisions about the data that it stores.
package aggregatorstore
