// Package layout checks the import rules of docs/architecture.md, and that the documentation names only files and folders that exist.
// It contains only tests.
package layout
