package front

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
)

func FuzzAppendQuoted(f *testing.F) {
	for _, text := range []string{"", "plain", "a \"quote\"", "back\\slash", "line\nbreak", "Ünïcode ☃", "<tag>&"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		quoted, err := appendQuoted(nil, text)
		must.NoError(t, err)
		want, err := json.Marshal(text)
		must.NoError(t, err)
		var a, b string
		must.NoError(t, json.Unmarshal(quoted, &a))
		must.NoError(t, json.Unmarshal(want, &b))
		must.Eq(t, b, a)
	})
}
