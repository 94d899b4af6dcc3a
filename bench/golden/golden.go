package golden

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
)

// Write tells a test to write its files anew. They hold the format of the release: write them only for a new format, with a way to
// read the former one, never to make a renamed field pass.
var Write = flag.Bool("write", false, "write the kept formats anew; never to make a rename pass")

// Folder is where a package keeps its files.
const Folder = "testdata/golden"

const fileMode = 0o644

// codec is an encoding of the product.
type codec struct {
	ending string
	encode func(any) ([]byte, error)
	decode func([]byte, any) error
}

var (
	cborCodec = codec{"cbor", cbor.Marshal, cbor.Unmarshal}
	gobCodec  = codec{"gob", encodeGob, decodeGob}
)

func encodeGob(v any) ([]byte, error) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return nil, fmt.Errorf("encode gob: %w", err)
	}
	return b.Bytes(), nil
}

func decodeGob(raw []byte, into any) error {
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(into); err != nil {
		return fmt.Errorf("decode gob: %w", err)
	}
	return nil
}

// CBOR holds a type to its kept CBOR: what is stored, or replicated between hosts.
func CBOR[T any](t *testing.T, name string) {
	check(t, name, reflect.TypeFor[T](), cborCodec)
}

// Calls holds the names of a net/rpc receiver's methods, their arguments and their replies to what is kept of them, and returns how
// many values that are. Values without fields are left out.
func Calls(t *testing.T, receiver any) int {
	methods, count := reflect.TypeOf(receiver), 0
	for i := range methods.NumMethod() {
		m := methods.Method(i)
		for part, typ := range map[string]reflect.Type{"argument": m.Type.In(1), "reply": m.Type.In(2).Elem()} {
			if typ.NumField() > 0 {
				check(t, m.Name+"-"+part, typ, gobCodec)
				count++
			}
		}
	}
	return count
}

// check decodes a kept file with the present type and compares every field with the list kept beside it: a field that was renamed,
// lost or added shows there, where the decoders would leave it at zero without an error.
func check(t *testing.T, name string, typ reflect.Type, c codec) {
	t.Run(name, func(t *testing.T) {
		file := filepath.Join(Folder, name+"."+c.ending)
		if *Write {
			filled := reflect.New(typ)
			must.NoError(t, Fill(filled.Interface()))
			raw, err := c.encode(filled.Elem().Interface())
			must.NoError(t, err)
			must.NoError(t, os.MkdirAll(Folder, 0o755))
			must.NoError(t, os.WriteFile(file, raw, fileMode))
			writeFields(t, name, filled.Elem().Interface())
		}
		raw, err := os.ReadFile(file)
		must.NoError(t, err)
		read := reflect.New(typ)
		must.NoError(t, c.decode(raw, read.Interface()))
		compare(t, name, read.Elem().Interface())
		_, zero := Fields(read.Elem().Interface())
		must.SliceEmpty(t, zero, must.Sprint("fields that the file does not hold"))
	})
}

// Same compares the names and values of all fields that are not zero with the list kept in the file NAME.json.
func Same(t *testing.T, name string, v any) {
	t.Helper()
	if *Write {
		writeFields(t, name, v)
	}
	compare(t, name, v)
}

func writeFields(t *testing.T, name string, v any) {
	t.Helper()
	values, _ := Fields(v)
	raw, err := json.MarshalIndent(values, "", " ")
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(filepath.Join(Folder, name+".json"), append(raw, '\n'), fileMode))
}

func compare(t *testing.T, name string, v any) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(Folder, name+".json"))
	must.NoError(t, err)
	kept := map[string]string{}
	must.NoError(t, json.Unmarshal(raw, &kept))
	must.MapNotEmpty(t, kept)
	found, _ := Fields(v)
	must.Eq(t, kept, found)
}

// Former checks that the files of an earlier release, kept in the folder former, are still read: each of their fields has its value,
// and the fields that are newer are zero. into holds a pointer for each name.
func Former(t *testing.T, into map[string]any) {
	t.Helper()
	for name, v := range into {
		name = filepath.Join("former", name)
		raw, err := os.ReadFile(filepath.Join(Folder, name+".gob"))
		must.NoError(t, err)
		must.NoError(t, decodeGob(raw, v))
		compare(t, name, reflect.ValueOf(v).Elem().Interface())
	}
}
