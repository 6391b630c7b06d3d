// Package systemtest tests the whole system end to end. It contains only tests.
//
// Each test starts one process per role on loopback addresses. Workers, the platform, clients and operators are fakes that
// run in the test's own process. Calls between processes pass through relays, which can partition, delay and drop them, and
// can inject a fault at the n-th call on a path. After the run a checker examines what clients, operators and workers
// observed.
//
// By default TestScenarios runs a few scenarios. These environment variables change what is run:
//
//   - PUFFINLINK_SYSTEMTEST_ALL=1 adds the extended scenarios, each kind of fault at each call point, and random pairs of
//     such faults.
//   - PUFFINLINK_SYSTEMTEST_SEED is the seed of the random pairs.
//   - PUFFINLINK_SYSTEMTEST_ONLY runs only the scenarios whose names match one of these comma-separated patterns.
//   - PUFFINLINK_SYSTEMTEST_KEEP is a directory that keeps the logs and disks of the processes, and a report on violations.
//   - PUFFINLINK_SOAK_SEEDS and the other variables of soak_test.go make TestSoak longer, which injects random faults that
//     overlap. The command scripts/soak sets them.
//   - PUFFINLINK_OTHER_BUILD is the path of a puffinlink program of another build. The tests of mixed versions and of
//     upgrades run it together with this build. If it is not set, they run this build in its place.
package systemtest
