// Package sitefile reads deployment files such as deploy/balancer.toml, and writes variants of a given site file for
// runs with other classes, limits and costs.
package sitefile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Text returns the string value of a top-level key of a TOML file. A key that is missing or has no string is an error.
func Text(path, key string) (string, error) {
	settings, err := read(path)
	if err != nil {
		return "", err
	}
	text, ok := settings[key].(string)
	if !ok {
		return "", fmt.Errorf("%s: key %q has no string value", path, key)
	}
	return text, nil
}

// read parses a TOML file.
func read(path string) (map[string]any, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var settings map[string]any
	if err := toml.Unmarshal(text, &settings); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

// companionFiles are the files that are read from the folder of a site file.
var companionFiles = []string{"real.json", "wire.json", "unlock.txt"}

// WriteVariant writes a variant of a site to a folder: the site file merged with a file of overrides, and copies of the
// companion files. It returns the path of the new site file, which has the base name of the overrides file.
func WriteVariant(site, overrides, folder string) (string, error) {
	base, err := read(site)
	if err != nil {
		return "", err
	}
	changes, err := read(overrides)
	if err != nil {
		return "", err
	}
	merged, err := merge(base, changes, "")
	if err != nil {
		return "", fmt.Errorf("%s: %w", overrides, err)
	}
	text, err := toml.Marshal(merged)
	if err != nil {
		return "", fmt.Errorf("%s: %w", overrides, err)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", err
	}
	for _, name := range companionFiles {
		b, err := os.ReadFile(filepath.Join(filepath.Dir(site), name))
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, name), b, 0o644)
		}
		if err != nil {
			return "", err
		}
	}
	path := filepath.Join(folder, filepath.Base(overrides))
	return path, os.WriteFile(path, text, 0o644)
}

// merge merges changes into base and returns the result. Tables are merged key by key and lists of tables by index. Any
// other value replaces the old one. path is the position in the file for error messages. siblings are the tables of the
// list that base belongs to. A key that neither base nor one of its siblings has is an error.
func merge(base, changes any, path string, siblings ...any) (any, error) {
	switch o := changes.(type) {
	case map[string]any:
		b, ok := base.(map[string]any)
		if !ok {
			return nil, fmt.Errorf("%s: the site has no table there", path)
		}
		for k, v := range o {
			old, ok := b[k]
			if !ok && !slices.ContainsFunc(siblings, func(o any) bool { return hasKey(o, k) }) {
				return nil, fmt.Errorf("%s.%s: the site has no such key", path, k)
			}
			var err error
			if b[k], err = merge(old, v, path+"."+k); err != nil {
				return nil, err
			}
		}
		return b, nil
	case []any:
		b, ok := base.([]any)
		if !ok || len(o) == 0 || !isTable(o[0]) {
			return changes, nil
		}
		if len(o) > len(b) {
			return nil, fmt.Errorf("%s: the site has %d of these", path, len(b))
		}
		var errs []error
		for i := range o {
			var err error
			b[i], err = merge(b[i], o[i], fmt.Sprintf("%s[%d]", path, i), b...)
			errs = append(errs, err)
		}
		return b, errors.Join(errs...)
	}
	return changes, nil
}

// hasKey reports whether a value is a table with the key.
func hasKey(table any, key string) bool {
	t, _ := table.(map[string]any)
	_, ok := t[key]
	return ok
}

// isTable reports whether a value is a table.
func isTable(v any) bool {
	_, ok := v.(map[string]any)
	return ok
}
