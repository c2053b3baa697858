package architecture

import (
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// The module's path as go.mod has it, and its root seen from this package.
const (
	modulePath = "pipitgap"
	moduleRoot = "../.."
)

// kind tells what a package is for, beyond its layer; the zero kind has no further bound.
type kind int

const (
	// Decisions on a snapshot or on state of their own: no input or output, no goroutines' tools, no logger.
	decision kind = iota + 1
	// Fakes, fixtures and harnesses: any test may import them, and no code outside of fakes and tests.
	fake
)

// row is one package of the tree.
type row struct {
	path string // below the module's root
	kind kind
	// A planned package needn't exist yet; the mark is taken off once it does.
	planned bool
}

// layers has every package of the tree, the lowest layer first. A package imports packages of lower layers
// only: neither of its own layer nor of a higher one. A new package is a new row, in the lowest layer above
// all it imports.
var layers = [][]row{
	{{path: "internal/monotime"}, {path: "internal/mapentry"}, {path: "internal/logging"},
		{path: "internal/architecture"}, {path: "internal/fixtures", kind: fake},
		{path: "internal/peerwire/cancellation"}},
	{{path: "internal/sortedmap"}, {path: "internal/peerwire"}},
	{{path: "internal/config"}, {path: "internal/transport"}},
	{{path: "internal/protocol"}, {path: "internal/durations", kind: decision}},
	{{path: "internal/resources"}, {path: "internal/ratelimit"}, {path: "internal/fake", kind: fake}},
	{{path: "internal/storage"}, {path: "internal/storeclient"}, {path: "internal/catalog"}},
	{{path: "internal/storage/storagetest", kind: fake}},
	{{path: "internal/cancellation", kind: decision}, {path: "internal/drain", kind: decision},
		{path: "internal/quota", kind: decision}},
	{{path: "internal/scheduling", kind: decision}, {path: "internal/peers", kind: decision}},
	{{path: "internal/mirror"}},
	{{path: "internal/autoscaling", kind: decision}, {path: "internal/fake/stubs", kind: fake}},
	{{path: "internal/membership"}, {path: "internal/reachability"}, {path: "internal/quota/quotashares"},
		{path: "internal/autoscaling/fleet"}},
	{{path: "internal/agents"}},
	{{path: "internal/shards"}},
	{{path: "internal/drain/drainer"}, {path: "internal/autoscaling/scalein"}, {path: "internal/placement"}},
	{{path: "internal/api"}, {path: "internal/jobs"}},
	{{path: "internal/coordination"}}, // the actor
	{{path: "internal/daemon"}, {path: "internal/operator"}},
	{{path: "internal/fake/loopback", kind: fake}},
	{{path: "cmd/pipitgap"}},
}

// The actor, which decisions must never import, in tests neither.
const actorPath = "internal/coordination"

// What a decision package doesn't import from the standard library; packages below these neither.
var forbiddenInDecisionPackages = []string{
	"bufio", "context", "database", "io", "log", "math/rand", "net", "os", "runtime", "sync", "syscall", "time",
}

// indexedRow is a row together with the number of its layer.
type indexedRow struct {
	row
	layer int
}

// indexRows indexes a table; a path that stands in it twice is an error.
func indexRows(table [][]row) (map[string]indexedRow, error) {
	rowsByPath := map[string]indexedRow{}
	for layer, rows := range table {
		for _, r := range rows {
			if _, ok := rowsByPath[r.path]; ok {
				return nil, fmt.Errorf("%s has two rows", r.path)
			}
			rowsByPath[r.path] = indexedRow{r, layer}
		}
	}
	return rowsByPath, nil
}

// sourceFile is what the check reads of a Go file.
type sourceFile struct {
	pkg     string // the package's path below the module's root
	file    string
	isTest  bool
	imports []string
}

// goFiles lists every Go file below cmd and internal, whatever its build tags.
func goFiles(t *testing.T) []string {
	t.Helper()
	var files []string
	for _, top := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(
			filepath.Join(moduleRoot, top),
			func(path string, entry fs.DirEntry, err error) error {
				switch {
				case err != nil:
					return err
				case entry.IsDir() && entry.Name() == "testdata":
					return fs.SkipDir
				case !entry.IsDir() && strings.HasSuffix(path, ".go"):
					files = append(files, path)
				}
				return nil
			},
		)
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(files) == 0 {
		t.Fatal("no sources found")
	}
	return files
}

// belowRoot gives a file's path below the module's root.
func belowRoot(t *testing.T, path string) string {
	t.Helper()
	relative, err := filepath.Rel(moduleRoot, path)
	if err != nil {
		t.Fatal(err)
	}
	return filepath.ToSlash(relative)
}

// readSource parses the imports of a Go file.
func readSource(t *testing.T, path string) sourceFile {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	file := belowRoot(t, path)
	s := sourceFile{
		pkg:    filepath.ToSlash(filepath.Dir(file)),
		file:   file,
		isTest: strings.HasSuffix(file, "_test.go"),
	}
	for _, spec := range parsed.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		s.imports = append(s.imports, imported)
	}
	return s
}

// violations lists what a file imports against the table.
func violations(rowsByPath map[string]indexedRow, s sourceFile) []string {
	from, ok := rowsByPath[s.pkg]
	if !ok {
		return []string{
			s.file + ": " + s.pkg + " has no row in layers: add it to the lowest layer above all it imports",
		}
	}
	var found []string
	for _, imported := range s.imports {
		if fault := violation(rowsByPath, from, s.isTest, imported); fault != "" {
			found = append(found, s.file+": "+fault)
		}
	}
	return found
}

// violation says what is wrong with one import, and is empty where nothing is.
func violation(rowsByPath map[string]indexedRow, from indexedRow, isTest bool, imported string) string {
	path, inModule := strings.CutPrefix(imported, modulePath+"/")
	if !inModule {
		if from.kind == decision && !isTest && isForbiddenInDecisionPackages(imported) {
			return fmt.Sprintf("%s decides, and must not import %s", from.path, imported)
		}
		return ""
	}
	to, ok := rowsByPath[path]
	switch {
	case path == from.path && isTest: // a test of the exported surface
		return ""
	case !ok:
		return fmt.Sprintf("%s is imported and has no row in layers", path)
	case from.kind == decision && path == actorPath:
		return fmt.Sprintf("%s decides, and must not import the actor", from.path)
	case to.kind == fake && !isTest && from.kind != fake:
		return fmt.Sprintf("%s is for tests, and %s is not", path, from.path)
	case to.kind == fake && isTest:
		return ""
	case to.layer >= from.layer:
		return fmt.Sprintf("%s is not in a layer below %s", path, from.path)
	}
	return ""
}

func isForbiddenInDecisionPackages(imported string) bool {
	return slices.ContainsFunc(forbiddenInDecisionPackages, func(forbidden string) bool {
		return imported == forbidden || strings.HasPrefix(imported, forbidden+"/")
	})
}

// Every import of the tree, tests included, goes down the table of layers.
func TestImportsGoDownTheLayers(t *testing.T) {
	rowsByPath, err := indexRows(layers)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range goFiles(t) {
		for _, fault := range violations(rowsByPath, readSource(t, file)) {
			t.Error(fault)
		}
	}
}

// The table has no row of a package that is gone, and no planned one that has come.
func TestLayersMatchPackages(t *testing.T) {
	for _, rows := range layers {
		for _, r := range rows {
			files, err := filepath.Glob(filepath.Join(moduleRoot, r.path, "*.go"))
			if err != nil {
				t.Fatal(err)
			}
			exists := len(files) > 0
			switch {
			case !exists && !r.planned:
				t.Errorf("%s has a row in layers and no Go file: take the row out", r.path)
			case exists && r.planned:
				t.Errorf("%s exists: take the mark planned off its row in layers", r.path)
			}
		}
	}
}

// The module's name is the one that the check looks for.
func TestModulePath(t *testing.T) {
	mod, err := os.ReadFile(filepath.Join(moduleRoot, "go.mod"))
	if err != nil {
		t.Fatal(err)
	}
	if first, _, _ := strings.Cut(string(mod), "\n"); first != "module "+modulePath {
		t.Errorf("go.mod begins with %q, modulePath is %q", first, modulePath)
	}
}

// The check itself, on a table of its own: what it lets pass and what it reports.
func TestViolations(t *testing.T) {
	rowsByPath, err := indexRows([][]row{
		{{path: "internal/low"}},
		{
			{path: "internal/one", kind: decision},
			{path: "internal/two"},
			{path: "internal/stubs", kind: fake},
		},
		{{path: actorPath}},
		{{path: "internal/harness", kind: fake}},
	})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name     string
		pkg      string
		isTest   bool
		imported string
		want     string // part of the report; empty where the import is allowed
	}{
		{"down", "internal/one", false, "pipitgap/internal/low", ""},
		{"down over a layer", actorPath, false, "pipitgap/internal/low", ""},
		{"up", "internal/low", false, "pipitgap/internal/two", "not in a layer below"},
		{"sideways", "internal/two", false, "pipitgap/internal/one", "not in a layer below"},
		{"up in a test", "internal/low", true, "pipitgap/internal/two", "not in a layer below"},
		{"own package in a test", "internal/low", true, "pipitgap/internal/low", ""},
		{
			"decision imports the actor",
			"internal/one",
			false,
			"pipitgap/" + actorPath,
			"must not import the actor",
		},
		{
			"decision's test imports the actor",
			"internal/one",
			true,
			"pipitgap/" + actorPath,
			"must not import the actor",
		},
		{"decision imports the network", "internal/one", false, "net/http", "must not import net/http"},
		{"decision imports the clock", "internal/one", false, "time", "must not import time"},
		{"decision imports a package of like name", "internal/one", false, "iter", ""},
		{"decision's test imports files", "internal/one", true, "os", ""},
		{"others import the network", "internal/two", false, "net/http", ""},
		{"code imports a fake", actorPath, false, "pipitgap/internal/stubs", "is for tests"},
		{"test imports a fake", "internal/low", true, "pipitgap/internal/harness", ""},
		{"fake imports a lower fake", "internal/harness", false, "pipitgap/internal/stubs", ""},
		{
			"fake imports a higher fake",
			"internal/stubs",
			false,
			"pipitgap/internal/harness",
			"not in a layer below",
		},
		{"unknown package is imported", actorPath, false, "pipitgap/internal/new", "has no row in layers"},
		{"unknown package imports", "internal/new", false, "fmt", "add it to the lowest layer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := violations(
				rowsByPath,
				sourceFile{pkg: c.pkg, file: "f.go", isTest: c.isTest, imports: []string{c.imported}},
			)
			switch {
			case c.want == "" && len(found) > 0:
				t.Errorf("reported: %v", found)
			case c.want != "" && (len(found) != 1 || !strings.Contains(found[0], c.want)):
				t.Errorf("got %v, want one report with %q", found, c.want)
			}
		})
	}
	if _, err := indexRows([][]row{{{path: "internal/low"}}, {{path: "internal/low"}}}); err == nil {
		t.Error("a package with two rows is no error")
	}
}
