package mutants

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// buildOverlay is the content of a file for the -overlay flag of go test.
type buildOverlay struct {
	Replace map[string]string
}

// Source returns the text of the source file with the mutation applied. root is the root directory of the repository. It returns a
// TableError unless the file contains the old text exactly once.
func (m *Mutant) Source(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, m.File))
	if err != nil {
		return "", fmt.Errorf("mutant %q: %w", m.Name, err)
	}
	if count := strings.Count(string(text), m.Old); count != 1 {
		return "", tableErrorf("mutant %q: %s holds %q %d times, want once", m.Name, m.File, m.Old, count)
	}
	return strings.Replace(string(text), m.Old, m.New, 1), nil
}

// WriteOverlay writes the mutated source file and an overlay file that refers to it into folder. It returns the path of the overlay file.
func (m *Mutant) WriteOverlay(root, folder string) (path string, err error) {
	source, err := m.Source(root)
	if err != nil {
		return "", err
	}
	original, err := filepath.Abs(filepath.Join(root, m.File))
	if err != nil {
		return "", fmt.Errorf("mutant %q: %w", m.Name, err)
	}
	mutantPath := filepath.Join(folder, "mutant.go")
	overlayJSON, err := json.Marshal(buildOverlay{Replace: map[string]string{original: mutantPath}})
	if err != nil {
		return "", fmt.Errorf("mutant %q: %w", m.Name, err)
	}
	path = filepath.Join(folder, "overlay.json")
	if err := os.WriteFile(mutantPath, []byte(source), 0o600); err != nil {
		return "", fmt.Errorf("mutant %q: %w", m.Name, err)
	}
	if err := os.WriteFile(path, overlayJSON, 0o600); err != nil {
		return "", fmt.Errorf("mutant %q: %w", m.Name, err)
	}
	return path, nil
}
