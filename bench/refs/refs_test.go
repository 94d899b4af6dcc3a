package refs

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/site"
)

var write = flag.Bool("write", false, "write the pages and example files instead of comparing them")

const root = "../.."

// compare holds that a committed file is what the code would write.
func compare(t *testing.T, path string, want []byte) {
	t.Helper()
	file := filepath.Join(root, path)
	if *write {
		must.NoError(t, os.WriteFile(file, want, 0o644))
		return
	}
	got, err := os.ReadFile(file)
	must.NoError(t, err)
	must.Eq(t, string(want), string(got), must.Sprintf("%s: run go test ./bench/refs -write", path))
}

func TestSettingsReferenceIsUpToDate(t *testing.T) {
	page, err := Reference(root)
	must.NoError(t, err)
	compare(t, "docs/settings.md", []byte(page))
}

func TestExamplesAreUpToDate(t *testing.T) {
	for folder, d := range map[string]site.Deployment{"flueshare": site.Flueshare(), "sawtloop": site.SawtLoop()} {
		files, err := d.Files()
		must.NoError(t, err)
		for name, data := range files {
			compare(t, filepath.Join("examples", folder, name), data)
		}
	}
}
