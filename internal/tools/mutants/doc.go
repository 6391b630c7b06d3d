// Package mutants maintains a table of mutants for mutation testing. Each mutant removes or breaks one check of the product and names the
// test that must then fail. If no test catches a mutant, the check could be lost unnoticed.
//
// The table is in testdata, with one TOML file for each part of docs/control-safety.md. The tests of this package verify that the table
// matches the sources. With PUFFINLINK_MUTANTS=1 they also build each mutant and run its test. The package never changes the source
// files: it builds mutants with an overlay.
package mutants
