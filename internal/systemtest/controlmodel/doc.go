// Package controlmodel tests the control plane on a virtual clock, network and disk. A simulation has coordinators, agents,
// operators, clients and workers, and injects faults by a seeded schedule. The tests check all answers against the guarantees
// of docs/control-safety.md about stale state: no component serves it, accepts or rejects a request on the basis of it, or sends
// a command on the basis of it.
//
// All components are the real ones, except sockets, disks and the platform's list of workers. A process is paused by delaying
// each of its messages and writes, both before and after it. Its timers continue to run.
package controlmodel
