package cmds

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// Scripts depend on the exit codes: wrong usage and unreachable hosts must be told apart, and the message must name the
// cause.
func TestCommandsEndWithTheirExitCodes(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	rows := []struct {
		name string
		args []string
		code int
		says string
	}{
		{"a good file", []string{"settings", "check", "../examples/sawtloop/host-1.json"}, exitOK, "is valid"},
		{"a good tree", []string{"settings", "check", "--Tree", "../examples/flueshare/tree.json"}, exitOK, "is valid"},
		{"a file of another kind", []string{"settings", "check", "../examples/sawtloop/tree.json"}, exitUsage, "unknown field"},
		{"a missing file", []string{"serve", "--Settings", missing}, exitUsage, "no such file"},
		{"a missing argument", []string{"settings", "get"}, exitUsage, "expected PATH"},
		{"a missing folder", []string{"state", "inspect", missing}, exitUsage, "no such file"},
		{"an unknown example", []string{"example", "Nothing", missing}, exitUsage, "expected Flueshare or SawtLoop"},
		{"a prompt part without tokens", []string{"where", "--Keeper", "127.0.0.1:1", "--Service", "s", "--Parts", "p"}, exitUsage, "expected ID:TOKENS"},
		{"no cluster key", []string{"where", "--Keeper", "127.0.0.1:1", "--Service", "s"}, exitUsage, "expected --Key"},
		{"no keeper in reach", []string{"where", "--Keeper", "127.0.0.1:1", "--Service", "s", "--Key", "k", "--Timeout", "200ms"}, exitFailed, "Assign.Explain"},
		{"no host in reach", []string{"status", "--Hosts", "127.0.0.1:1", "--Timeout", "200ms"}, exitFailed, "ask 127.0.0.1:1: "},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := Main(append([]string{"cyclamenford"}, row.args...), &stdout, &stderr)
			must.Eq(t, row.code, code, must.Sprint(stderr.String()))
			must.StrContains(t, stdout.String()+stderr.String(), row.says)
		})
	}
}
