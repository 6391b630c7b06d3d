package mutants

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// overlayFile is what go test -overlay reads.
type overlayFile struct {
	Replace map[string]string
}

// Source returns the mutant's source file as it would be with the mistake. root is the repository's root.
func (m *Mutant) Source(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, m.File))
	if err != nil {
		return "", fmt.Errorf("mutant %q: %w", m.Name, err)
	}
	if times := strings.Count(string(text), m.Old); times != 1 {
		return "", wrong("mutant %q: %s holds %q %d times, want once", m.Name, m.File, m.Old, times)
	}
	return strings.Replace(string(text), m.Old, m.New, 1), nil
}

// WriteOverlay writes the changed source and an overlay that names it into folder, and returns the overlay's path.
func (m *Mutant) WriteOverlay(root, folder string) (path string, err error) {
	source, err := m.Source(root)
	if err != nil {
		return "", err
	}
	original, err := filepath.Abs(filepath.Join(root, m.File))
	if err != nil {
		return "", fmt.Errorf("mutant %q: %w", m.Name, err)
	}
	changed := filepath.Join(folder, "mutant.go")
	overlay, err := json.Marshal(overlayFile{Replace: map[string]string{original: changed}})
	if err != nil {
		return "", fmt.Errorf("mutant %q: %w", m.Name, err)
	}
	path = filepath.Join(folder, "overlay.json")
	if err := os.WriteFile(changed, []byte(source), 0o600); err != nil {
		return "", fmt.Errorf("mutant %q: %w", m.Name, err)
	}
	if err := os.WriteFile(path, overlay, 0o600); err != nil {
		return "", fmt.Errorf("mutant %q: %w", m.Name, err)
	}
	return path, nil
}
