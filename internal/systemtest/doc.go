// Package systemtest runs the whole system, one process for each role, on loopback addresses before fakes for
// workers, the platform, clients and operators. A relay stands between every two processes: it can partition, delay and drop, and
// injects faults at numbered calls. What clients, operators and workers have seen is checked afterwards. It has only tests.
//
// By default a run plays a few scenarios. These variables of the environment change that:
//
//   - PUFFINLINK_SYSTEMTEST_ALL=1 plays all scenarios: each fault at each numbered call in turn, and randomly drawn pairs of them.
//   - PUFFINLINK_SYSTEMTEST_SEED is the seed of the pairs.
//   - PUFFINLINK_SYSTEMTEST_ONLY plays those whose names match one of the patterns, joined by commas.
//   - PUFFINLINK_SYSTEMTEST_KEEP is a folder for the processes' logs and disks, and for the report on each violation.
//   - PUFFINLINK_OTHER_BUILD is the path of a puffinlink program of another build, which the tests of two builds at once
//     start beside this one; without it they start this build in its place.
package systemtest
