// Package feed defines what the control plane publishes to the data plane, and a store for it. The published state consists of
// the configuration in force, the leader of each replication group, and the addresses of all nodes.
//
// A Snapshot is the complete state. A Digest identifies the state that a reader has, so that the reader receives only what it
// lacks. Configuration versions and leader terms never decrease, and the highest one always wins.
//
// Coordinators serve the feed to agents through a long poll (package feedserver). Agents also spread it among
// each other by anti-entropy: they exchange digests first, and then what the other side lacks (A. Demers et al., Epidemic Algorithms
// for Replicated Database Maintenance, PODC 1987). Each agent serves the feed to the proxy on its machine. A configuration is sent
// to agents as content-defined chunks, and an agent fetches only the chunks that it lacks.
package feed
