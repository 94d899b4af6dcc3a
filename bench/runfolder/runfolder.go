package runfolder

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// New returns a folder for the logs and the disks of a test's hosts, which is removed unless the test fails.
func New(t *testing.T) string {
	folder, err := os.MkdirTemp("", "cyclamenford-"+filepath.Base(t.Name())+"-")
	must.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the logs of the hosts are in %s", folder)
			return
		}
		must.NoError(t, os.RemoveAll(folder))
	})
	return folder
}
