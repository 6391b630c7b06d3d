// Package controlmodel has tests of the control side on a virtual clock, network and disk: core nodes, agents, operators,
// clients and workers, with faults by seeded schedules. It judges what each of them is told against the promises of
// docs/control-safety.md on old state: nothing old is handed out, nothing refused or confirmed on it, no order sent.
//
// The parts are the real ones, but for sockets, disks and the list of the platform. A process that stands still is modelled
// by its messages and its writes, which wait before and after each of them, while its timers go on.
package controlmodel
