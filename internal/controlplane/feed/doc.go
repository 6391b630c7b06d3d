// Package feed has what the control plane publishes to the data plane: the configuration in force, who leads which replication
// group, and which nodes exist. A Snapshot is the whole of it. A Digest names the state of a Snapshot, so that a reader fetches
// only what it lacks; versions and terms only grow, and the newest wins.
//
// Core nodes serve the feed (package feedserver) to the agents of front machines, by a call that waits for the next change.
// Agents spread it among each other by anti-entropy, digests first and then what the other lacks (A. Demers et al., Epidemic
// Algorithms for Replicated Database Maintenance, PODC 1987), and serve it to the proxy beside them. Configurations are sent by
// content-defined chunks, of which a reader takes those that differ from what it has.
package feed
