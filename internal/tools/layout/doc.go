// Package layout holds the tree to what docs/architecture.md says of it: which package may import which, and that the pages
// name only files and folders that exist. It has tests alone.
package layout
