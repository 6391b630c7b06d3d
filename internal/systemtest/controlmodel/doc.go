// Package controlmodel has tests of the control side on a virtual clock, network and disk: core nodes, agents, operators,
// clients and workers, with faults by seeded schedules. It checks the answers to each of them against the promises of
// docs/control-safety.md on old state: no stale state is served, nothing is refused or confirmed on it, and no command is sent.
//
// The parts are the real ones, but for sockets, disks and the list of the platform. A process that is paused is modelled
// by its messages and its writes, which wait before and after each of them, while its timers go on.
package controlmodel
