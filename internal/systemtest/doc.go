// Package systemtest runs the whole system, one process for each part, on loopback addresses before stand-ins for
// searchers, the platform, clients and operators. A relay stands between every two parts: it can cut, delay and drop, and
// strikes at numbered calls. What clients, operators and searchers have seen is judged afterwards. It has only tests.
package systemtest
