package pipe

import (
	"context"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/io/wall"
)

// TestMalformedHeads guards against malformed heads that are taken for an answer, and against reusing their connections.
func TestMalformedHeads(t *testing.T) {
	raw, err := os.ReadFile("testdata/heads.json")
	must.NoError(t, err)
	var rows []struct {
		Name, Answer string
		// Sound means that the answer is the one to the request; its body is "one".
		Sound bool
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			address := endpoint(t, []string{row.Answer})
			client := New(Options{Clock: wall.New()})
			defer func() { must.NoError(t, client.Stop(context.Background())) }()
			if row.Sound {
				must.Eq(t, "one", ask(client, address, "a"))
				return
			}
			must.Eq(t, "error", ask(client, address, "a"))
			must.MapEmpty(t, client.idle, must.Sprint("connections that are used again"))
		})
	}
}
