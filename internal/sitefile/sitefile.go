// Package sitefile reads the files by which the project is deployed: the lines of deploy/balancer.toml, and variants of a
// given site file, laid out for runs with other classes, limits and costs than the site has.
package sitefile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Text returns one text of a deploy file.
func Text(path, key string) (string, error) {
	all, err := read(path)
	if err != nil {
		return "", err
	}
	text, ok := all[key].(string)
	if !ok {
		return "", fmt.Errorf("%s: no text %s", path, key)
	}
	return text, nil
}

func read(path string) (map[string]any, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var all map[string]any
	if err := toml.Unmarshal(text, &all); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return all, nil
}

// beside are the files that are read from the folder of a site file.
var beside = []string{"real.json", "wire.json", "unlock.txt"}

// WriteVariant lays a site out in a folder: the site's file with the overrides of another file, and what belongs beside it. It
// returns the path of the new site file, which has the name of the overrides' file.
func WriteVariant(site, overrides, folder string) (string, error) {
	base, err := read(site)
	if err != nil {
		return "", err
	}
	over, err := read(overrides)
	if err != nil {
		return "", err
	}
	merged, err := merge(base, over, "")
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
	for _, name := range beside {
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

// merge puts over into base: tables key by key, lists of tables by their places, all else as a whole. A key that neither the
// site's table has nor, in a list, one of those beside it, is a mistake.
func merge(base, over any, at string, beside ...any) (any, error) {
	switch o := over.(type) {
	case map[string]any:
		b, ok := base.(map[string]any)
		if !ok {
			return nil, fmt.Errorf("%s: the site has no table there", at)
		}
		for k, v := range o {
			old, ok := b[k]
			if !ok && !slices.ContainsFunc(beside, func(o any) bool { return has(o, k) }) {
				return nil, fmt.Errorf("%s.%s: the site has no such key", at, k)
			}
			var err error
			if b[k], err = merge(old, v, at+"."+k); err != nil {
				return nil, err
			}
		}
		return b, nil
	case []any:
		b, ok := base.([]any)
		if !ok || len(o) == 0 || !isTable(o[0]) {
			return over, nil
		}
		if len(o) > len(b) {
			return nil, fmt.Errorf("%s: the site has %d of these", at, len(b))
		}
		var errs []error
		for i := range o {
			var err error
			b[i], err = merge(b[i], o[i], fmt.Sprintf("%s[%d]", at, i), b...)
			errs = append(errs, err)
		}
		return b, errors.Join(errs...)
	}
	return over, nil
}

func has(table any, key string) bool {
	t, _ := table.(map[string]any)
	_, ok := t[key]
	return ok
}

func isTable(v any) bool {
	_, ok := v.(map[string]any)
	return ok
}
