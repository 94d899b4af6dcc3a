package reply

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
)

// TestCheck guards against a success that is forwarded without being read as what its request is due.
func TestCheck(t *testing.T) {
	raw, err := os.ReadFile("testdata/heads.json")
	must.NoError(t, err)
	var rows []struct {
		Name             string
		Kind             Kind
		Status           int
		Length           int64
		Types, Encodings []string
		Bad              bool
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			err := row.Kind.Check(Head{Status: row.Status, Length: row.Length, Types: row.Types, Encodings: row.Encodings})
			if row.Bad {
				must.ErrorIs(t, err, ErrNotDue)
				return
			}
			must.NoError(t, err)
		})
	}
}

// TestCheckError guards against an error whose body is read although its head says that it is something else.
func TestCheckError(t *testing.T) {
	raw, err := os.ReadFile("testdata/errors.json")
	must.NoError(t, err)
	var rows []struct {
		Name             string
		Status           int
		Types, Encodings []string
		Bad              bool
	}
	must.NoError(t, strict.Decode(raw, &rows))
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			err := CheckError(Head{Status: row.Status, Types: row.Types, Encodings: row.Encodings})
			if row.Bad {
				must.ErrorIs(t, err, ErrNotDue)
				return
			}
			must.NoError(t, err)
		})
	}
}
