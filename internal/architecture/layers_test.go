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

// The module path as in go.mod, and the path of the module root relative to this package.
const (
	modulePath = "pipitgap"
	moduleRoot = "../.."
)

// kind restricts the imports of or into a package beyond the rule on layers. The zero kind has no additional
// restriction.
type kind int

const (
	// decision packages compute decisions from a snapshot or from their own state. They must not use I/O,
	// concurrency primitives or a logger; see forbiddenInDecisionPackages.
	decision kind = iota + 1
	// fake packages are fakes, fixtures and test harnesses. Any test may import them; other code may not,
	// except fake packages themselves.
	fake
)

// row describes one package in the table of layers.
type row struct {
	path string // relative to the module root
	kind kind
	// planned marks a package that does not exist yet. Remove the mark when the package exists.
	planned bool
}

// layers lists every package of the module, lowest layer first. A package may import only packages of lower
// layers, not of its own layer or of a higher one. Add a new package to the lowest layer above all packages
// that it imports.
var layers = [][]row{
	{{path: "internal/monotime"}, {path: "internal/mapentry"}, {path: "internal/logging"},
		{path: "internal/architecture"}, {path: "internal/knownred"}, {path: "internal/invariant"},
		{path: "internal/fixtures", kind: fake},
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

// actorPath is the package of the actor. Decision packages must not import it, not even in tests.
const actorPath = "internal/coordination"

// forbiddenInDecisionPackages lists the standard library packages that a decision package must not import,
// except in its tests. The rule includes their subpackages.
var forbiddenInDecisionPackages = []string{
	"bufio", "context", "database", "io", "log", "math/rand", "net", "os", "runtime", "sync", "syscall", "time",
}

// indexedRow is a row with the index of its layer.
type indexedRow struct {
	row
	layer int
}

// indexRows indexes a table by package path. It returns an error if a path occurs twice.
func indexRows(table [][]row) (map[string]indexedRow, error) {
	rowsByPath := map[string]indexedRow{}
	for layer, rows := range table {
		for _, r := range rows {
			if _, ok := rowsByPath[r.path]; ok {
				return nil, fmt.Errorf("%s has two rows in the table of layers", r.path)
			}
			rowsByPath[r.path] = indexedRow{r, layer}
		}
	}
	return rowsByPath, nil
}

// sourceFile holds the properties of a Go file that the import check uses.
type sourceFile struct {
	pkg     string // the package path relative to the module root
	file    string
	isTest  bool
	imports []string
}

// goFiles lists all Go files below cmd and internal, regardless of build tags. It skips testdata folders.
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
		t.Fatal("got no Go file below cmd and internal, want at least 1")
	}
	return files
}

// belowRoot returns the path of a file relative to the module root.
func belowRoot(t *testing.T, path string) string {
	t.Helper()
	relative, err := filepath.Rel(moduleRoot, path)
	if err != nil {
		t.Fatal(err)
	}
	return filepath.ToSlash(relative)
}

// readSource parses a Go file as far as its imports.
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

// violations lists the imports of a file that violate the rules of the table.
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

// violation describes how one import violates the rules. It returns an empty string if the import is allowed.
func violation(rowsByPath map[string]indexedRow, from indexedRow, isTest bool, imported string) string {
	path, inModule := strings.CutPrefix(imported, modulePath+"/")
	if !inModule {
		if from.kind == decision && !isTest && isForbiddenInDecisionPackages(imported) {
			return fmt.Sprintf("%s is a decision package and must not import %s", from.path, imported)
		}
		return ""
	}
	to, ok := rowsByPath[path]
	switch {
	case path == from.path && isTest: // an external test package imports the package that it tests
		return ""
	case !ok:
		return fmt.Sprintf("imported package %s has no row in layers", path)
	case from.kind == decision && path == actorPath:
		return fmt.Sprintf("%s is a decision package and must not import the actor", from.path)
	case to.kind == fake && !isTest && from.kind != fake:
		return fmt.Sprintf("%s is for tests only, but %s imports it outside of tests", path, from.path)
	case to.kind == fake && isTest:
		return ""
	case to.layer >= from.layer:
		return fmt.Sprintf("imported package %s is not in a layer below %s", path, from.path)
	}
	return ""
}

// isForbiddenInDecisionPackages reports whether an import is in forbiddenInDecisionPackages or is a
// subpackage of an entry.
func isForbiddenInDecisionPackages(imported string) bool {
	return slices.ContainsFunc(forbiddenInDecisionPackages, func(forbidden string) bool {
		return imported == forbidden || strings.HasPrefix(imported, forbidden+"/")
	})
}

// TestImportsGoDownTheLayers guards against dependencies between packages that the layers forbid. It checks
// every import in the module, including those of tests.
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

// TestLayersMatchPackages guards against an outdated table: rows of packages that no longer exist, and
// planned packages that exist by now.
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
				t.Errorf("%s has a row in layers but no Go file: remove the row", r.path)
			case exists && r.planned:
				t.Errorf("%s exists: remove the mark planned from its row in layers", r.path)
			}
		}
	}
}

// TestModulePath guards against an import check that matches no import because go.mod names another module
// path.
func TestModulePath(t *testing.T) {
	mod, err := os.ReadFile(filepath.Join(moduleRoot, "go.mod"))
	if err != nil {
		t.Fatal(err)
	}
	if first, _, _ := strings.Cut(string(mod), "\n"); first != "module "+modulePath {
		t.Errorf("first line of go.mod: got %q, want %q", first, "module "+modulePath)
	}
}

// TestViolations guards against an import check that reports allowed imports or misses forbidden ones. It
// uses a small table of its own.
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
		want     string // substring of the only violation; empty: the import is allowed
	}{
		{"import from a lower layer", "internal/one", false, "pipitgap/internal/low", ""},
		{"import from a layer two levels down", actorPath, false, "pipitgap/internal/low", ""},
		{"import from a higher layer", "internal/low", false, "pipitgap/internal/two", "not in a layer below"},
		{"import from the same layer", "internal/two", false, "pipitgap/internal/one", "not in a layer below"},
		{"test imports from a higher layer", "internal/low", true, "pipitgap/internal/two", "not in a layer below"},
		{"test imports its own package", "internal/low", true, "pipitgap/internal/low", ""},
		{
			"decision package imports the actor",
			"internal/one",
			false,
			"pipitgap/" + actorPath,
			"must not import the actor",
		},
		{
			"test of a decision package imports the actor",
			"internal/one",
			true,
			"pipitgap/" + actorPath,
			"must not import the actor",
		},
		{"decision package imports the network", "internal/one", false, "net/http", "must not import net/http"},
		{"decision package imports the clock", "internal/one", false, "time", "must not import time"},
		{"decision package imports an allowed package with a similar name", "internal/one", false, "iter", ""},
		{"test of a decision package imports file access", "internal/one", true, "os", ""},
		{"other package imports the network", "internal/two", false, "net/http", ""},
		{"production code imports a fake", actorPath, false, "pipitgap/internal/stubs", "is for tests"},
		{"test imports a fake", "internal/low", true, "pipitgap/internal/harness", ""},
		{"fake imports a lower fake", "internal/harness", false, "pipitgap/internal/stubs", ""},
		{
			"fake imports a higher fake",
			"internal/stubs",
			false,
			"pipitgap/internal/harness",
			"not in a layer below",
		},
		{"import of a package without a row", actorPath, false, "pipitgap/internal/new", "has no row in layers"},
		{"import by a package without a row", "internal/new", false, "fmt", "add it to the lowest layer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := violations(
				rowsByPath,
				sourceFile{pkg: c.pkg, file: "f.go", isTest: c.isTest, imports: []string{c.imported}},
			)
			switch {
			case c.want == "" && len(found) > 0:
				t.Errorf("got violations %v, want none", found)
			case c.want != "" && (len(found) != 1 || !strings.Contains(found[0], c.want)):
				t.Errorf("got violations %v, want one that contains %q", found, c.want)
			}
		})
	}
	if _, err := indexRows([][]row{{{path: "internal/low"}}, {{path: "internal/low"}}}); err == nil {
		t.Error("package with two rows: got no error, want one")
	}
}
