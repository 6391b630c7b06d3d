// Package mutants keeps a table of mutants: checks of the product that are removed on purpose, each with the test that must
// then fail. A check whose mutant no test catches could be lost without anybody noticing.
//
// The table is in testdata, one TOML file for each part of docs/control-safety.md. The ordinary tests of this package hold it
// to the sources; with PUFFINLINK_MUTANTS=1 they also build every mutant and run its test.
package mutants
