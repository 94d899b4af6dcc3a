package tree

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"cyclamenford/core"
)

// ErrUnknownPath means that a path is neither that of the platform nor that of a team.
var ErrUnknownPath = errors.New("unknown settings path")

// Decode decodes a JSON document into value and rejects unknown fields and trailing data.
func Decode(text []byte, value any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		return describeDecodeError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return core.NewFieldError("/", "data after the document", "one JSON document")
	}
	return nil
}

// describeDecodeError converts a decoding error to a field error with the found and the expected value, if it names a
// field.
func describeDecodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return core.NewFieldError(wrongType.Field, wrongType.Value, wrongType.Type.String())
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return core.NewFieldError(strings.Trim(name, `"`), "an unknown field", "a field of the settings reference")
	}
	return fmt.Errorf("read JSON: %w", err)
}

// With returns a copy of the tree in which a JSON document replaces the subtree at path. An empty document removes a
// team's subtree. The result is not validated; see Check.
func (t Tree) With(path string, doc []byte) (Tree, error) {
	if path == PlatformPath {
		var p Platform
		if err := Decode(doc, &p); err != nil {
			return Tree{}, fmt.Errorf("%s: %w", path, err)
		}
		return t.WithPlatform(p), nil
	}
	id, ok := strings.CutPrefix(path, TeamPrefix)
	if !ok || !validName(id) {
		return Tree{}, fmt.Errorf("%q: %w: expected %s or %sNAME", path, ErrUnknownPath, PlatformPath, TeamPrefix)
	}
	if len(doc) == 0 {
		return t.WithoutTeam(core.TeamID(id)), nil
	}
	var team Team
	if err := Decode(doc, &team); err != nil {
		return Tree{}, fmt.Errorf("%s: %w", path, err)
	}
	return t.WithTeam(core.TeamID(id), team), nil
}

// validName reports whether a name has 1 to 64 ASCII letters, digits, hyphens, underscores or dots.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.' {
			return false
		}
	}
	return true
}

const maxNameBytes = 64
