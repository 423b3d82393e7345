package sitefile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, b := range beside {
		if err := os.WriteFile(filepath.Join(filepath.Dir(path), b), []byte(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return path
}

const site = "name = \"x\"\n[load]\nquiet = [0.4, 0.5]\n[[class]]\nname = \"a\"\neffect = \"safe\"\nwindow = 5\n[[class]]\nname = \"b\"\neffect = \"unsafe\"\n"

func TestWriteVariant(t *testing.T) {
	base := write(t, "site.toml", site)
	over := write(t, "other.toml", "[load]\nquiet = 0.3\n[[class]]\n[[class]]\neffect = \"keyed\"\nwindow = 7\n")
	path, err := WriteVariant(base, over, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	got, err := read(path)
	if err != nil {
		t.Fatal(err)
	}
	classes := got["class"].([]any)
	first, second := classes[0].(map[string]any), classes[1].(map[string]any)
	if got["name"] != "x" || got["load"].(map[string]any)["quiet"] != 0.3 || first["effect"] != "safe" || second["name"] != "b" || second["effect"] != "keyed" ||
		second["window"] != int64(7) || first["window"] != int64(5) {
		t.Errorf("laid out: %v", got)
	}
	for _, b := range beside {
		if text, err := os.ReadFile(filepath.Join(filepath.Dir(path), b)); string(text) != b {
			t.Errorf("%s: %q, %v", b, text, err)
		}
	}
}

func TestWriteVariantRejects(t *testing.T) {
	base := write(t, "site.toml", site)
	for text, says := range map[string]string{"[lod]\nquiet = 1\n": ".lod", "[load]\nquite = 1\n": ".load.quite", "[[class]]\n[[class]]\n[[class]]\n": ".class: the site has 2", "[[class]]\nwindw = 1\n": ".class[0].windw",
		"[name]\nx = 1\n": ".name", "name =\n": "other.toml"} {
		if _, err := WriteVariant(base, write(t, "other.toml", text), t.TempDir()); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%q: %v, want %q", text, err, says)
		}
	}
}

func TestText(t *testing.T) {
	path := write(t, "deploy.toml", "build = \"go build\"\npackages = []\n")
	if text, err := Text(path, "build"); text != "go build" || err != nil {
		t.Errorf("%q, %v", text, err)
	}
	for _, key := range []string{"packages", "run"} {
		if _, err := Text(path, key); err == nil {
			t.Errorf("%s: no error", key)
		}
	}
}
