package mutants

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"github.com/BurntSushi/toml"
	"github.com/go-playground/validator/v10"
)

// Mutant describes a change that breaks one check of the product, and the test that must catch it.
type Mutant struct {
	Name    string `toml:"name" validate:"required"`
	Rule    string `toml:"rule" validate:"required"`         // what the check guarantees
	File    string `toml:"file" validate:"required"`         // path of the source file, relative to the repository's root
	Old     string `toml:"old" validate:"required"`          // text that occurs exactly once in the file
	New     string `toml:"new" validate:"nefield=Old"`       // text that replaces it
	Package string `toml:"package" validate:"startswith=./"` // package of the test, relative to the repository's root
	Test    string `toml:"test" validate:"required"`         // regular expression for go test -run

	Table string `toml:"-"` // base name of the table file that contains the mutant
}

// tableFile is the decoded content of one table file.
type tableFile struct {
	Mutants []Mutant `toml:"mutant" validate:"required,dive"`
}

// Load reads and validates all TOML files of a folder in the order of their names, and returns their mutants.
func Load(folder string) ([]Mutant, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.toml"))
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", folder, err)
	}
	sort.Strings(paths)
	var all []Mutant
	for _, path := range paths {
		mutants, err := loadFile(path)
		if err != nil {
			return nil, err
		}
		all = append(all, mutants...)
	}
	return all, nil
}

// loadFile reads and validates one table file.
func loadFile(path string) ([]Mutant, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read table of mutants: %w", err)
	}
	var content tableFile
	decoded, err := toml.Decode(string(text), &content)
	if err != nil {
		return nil, fmt.Errorf("decode %s: %w", path, err)
	}
	if unknown := decoded.Undecoded(); len(unknown) > 0 {
		return nil, tableErrorf("decode %s: unknown key %s", path, unknown[0])
	}
	if err := validator.New().Struct(content); err != nil {
		return nil, fmt.Errorf("check %s: %w", path, err)
	}
	for i := range content.Mutants {
		content.Mutants[i].Table = filepath.Base(path)
	}
	return content.Mutants, nil
}
