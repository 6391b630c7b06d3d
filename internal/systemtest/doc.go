// Package systemtest runs the whole system, one process for each part, on loopback addresses before stand-ins for
// workers, the platform, clients and operators. A relay stands between every two parts: it can cut, delay and drop, and
// strikes at numbered calls. What clients, operators and workers have seen is judged afterwards. It has only tests.
//
// An ordinary run plays a few telling scenarios. These variables of the environment change that:
//
//   - PUFFINLINK_SYSTEMTEST_ALL=1 plays all scenarios: each fault at each numbered place in turn, and pairs that are drawn.
//   - PUFFINLINK_SYSTEMTEST_SEED is the seed of the pairs.
//   - PUFFINLINK_SYSTEMTEST_ONLY plays those whose names match one of the patterns, joined by commas.
//   - PUFFINLINK_SYSTEMTEST_KEEP is a folder for the processes' logs and disks, and for the account of each broken rule.
//   - PUFFINLINK_OTHER_BUILD is the path of a puffinlink program of another build, which the tests of two builds at once
//     start beside this one; without it they start this build in its place.
package systemtest
