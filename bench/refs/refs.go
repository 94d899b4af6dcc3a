package refs

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"

	"cyclamenford/setup"
)

// source is a file whose structs are described, in this order.
type source struct {
	title string
	file  string
	names []string
}

var sources = []source{
	{"A host's settings file", "setup/settings.go", []string{
		"Settings", "HostSettings", "Listeners", "FoundingKeeper", "KeeperSettings", "Keys", "TLS", "CallerSettings", "LogSettings", "TraceSettings",
	}},
	{"A relay host's settings file", "setup/relay_settings.go", []string{
		"RelaySettings", "RelayListeners", "BufferSettings", "RetrySettings", "RelayLogSettings",
	}},
	{"Certificate files", "io/certs/certs.go", []string{"Files"}},
	{"The settings tree: Platform and Teams/NAME", "core/tree/types.go", []string{
		"Platform", "PriorityShare", "Pipeline", "Stage", "Plain", "Call", "Team", "Key", "Limits",
	}},
}

// Reference returns the page for the sources below a folder.
func Reference(root string) (string, error) {
	var b strings.Builder
	b.WriteString("# Settings reference\n\nWritten by `go test ./bench/refs -write` from the commented structs; do not edit.\n")
	for _, s := range sources {
		fmt.Fprintf(&b, "\n## %s\n", s.title)
		file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, s.file), nil, parser.ParseComments)
		if err != nil {
			return "", fmt.Errorf("read structs: %w", err)
		}
		for _, name := range s.names {
			if err := describe(&b, file, name); err != nil {
				return "", err
			}
		}
	}
	raw, err := json.MarshalIndent(setup.Defaults(), "", "  ")
	if err != nil {
		return "", fmt.Errorf("encode defaults: %w", err)
	}
	fmt.Fprintf(&b, "\n## Defaults of a host's settings file\n\n```json\n%s\n```\n", raw)
	return b.String(), nil
}

func describe(b *strings.Builder, file *ast.File, name string) error {
	object := file.Scope.Lookup(name)
	if object == nil {
		return fmt.Errorf("no struct %s", name)
	}
	spec, ok := object.Decl.(*ast.TypeSpec)
	if !ok {
		return fmt.Errorf("%s is no type", name)
	}
	fields, ok := spec.Type.(*ast.StructType)
	if !ok {
		return fmt.Errorf("%s is no struct", name)
	}
	fmt.Fprintf(b, "\n### %s\n\n| field | type | meaning |\n|---|---|---|\n", name)
	for _, f := range fields.Fields.List {
		for _, n := range f.Names {
			if n.IsExported() {
				fmt.Fprintf(b, "| `%s` | `%s` | %s |\n", n.Name, typeName(f.Type), comment(f))
			}
		}
	}
	return nil
}

func comment(f *ast.Field) string {
	return strings.Join(strings.Fields(f.Doc.Text()), " ")
}

func typeName(e ast.Expr) string {
	switch t := e.(type) {
	case *ast.Ident:
		return t.Name
	case *ast.SelectorExpr:
		return t.Sel.Name
	case *ast.ArrayType:
		return "list of " + typeName(t.Elt)
	}
	return "object"
}
