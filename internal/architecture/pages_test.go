package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// pagePatterns name the pages that are checked, seen from the module's root. The pages on incidents are left
// out: they quote the logs and names of their time.
var pagePatterns = []string{"README.md", "docs/*.md", "docs/operators/*.md"}

var (
	// A Go identifier with its package, and with its type if it is a method or field.
	qualifiedName = regexp.MustCompile(`^[a-z][a-z0-9]*(\.[A-Za-z_][A-Za-z0-9_]*){1,2}$`)
	testName      = regexp.MustCompile(`\b(Test|Benchmark|Fuzz)[A-Z][A-Za-z0-9_]*\b`)
	backquoted    = regexp.MustCompile("`([^`\n]+)`")
	sourcePath    = regexp.MustCompile(`^(cmd|internal|deploy|docs)/[A-Za-z0-9_./-]*$`)
	link          = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
)

// What ends a name in backquotes that is a file and no identifier.
var fileSuffixes = []string{".go", ".json", ".md", ".mod", ".toml", ".txt", ".yaml"}

// onCallPage is the page that has every package, and whose log messages are checked too. Other pages may quote
// messages of earlier versions.
const onCallPage = "docs/architecture.md"

// logMessage is several words in lower case; commands are told apart by the program's name.
var logMessage = regexp.MustCompile(`^[a-z][a-z-]*(,? [a-z-]+)+$`)

// unknownMessages lists what a page quotes as log messages and no source has as a string.
func unknownMessages(literals map[string]bool, page string) []string {
	var unknown []string
	for _, match := range backquoted.FindAllStringSubmatch(page, -1) {
		message := match[1]
		if logMessage.MatchString(message) && !strings.HasPrefix(message, "pipitgap ") && !literals[message] {
			unknown = append(unknown, message)
		}
	}
	return unknown
}

// readLiterals gathers the string literals of the tests, or of the other sources; these tests' own don't count.
func readLiterals(t *testing.T, tests bool) map[string]bool {
	t.Helper()
	literals := map[string]bool{}
	for _, path := range goFiles(t) {
		inThisPackage := filepath.Dir(belowRoot(t, path)) == "internal/architecture"
		if inThisPackage || strings.HasSuffix(path, "_test.go") != tests {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if literal, ok := n.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				if text, err := strconv.Unquote(literal.Value); err == nil {
					literals[text] = true
				}
			}
			return true
		})
	}
	return literals
}

// Every log message that the page for on-call engineers tells to look for is in the sources.
func TestOnCallPageQuotesLogMessages(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(moduleRoot, onCallPage))
	if err != nil {
		t.Fatal(err)
	}
	for _, message := range unknownMessages(readLiterals(t, false), string(page)) {
		t.Errorf("%s quotes %q, which no source has", onCallPage, message)
	}
}

func TestUnknownMessages(t *testing.T) {
	literals := map[string]bool{"state service unavailable": true, "insufficient capacity, offer quarantined": true}
	cases := []struct{ page, want string }{
		{"`state service unavailable` and `insufficient capacity, offer quarantined`", ""},
		{"`state service trouble`", "state service trouble"},
		{"`pipitgap drain status`, `state=end`, `deploy`, `a.b c`", ""},
	}
	for _, c := range cases {
		if got := strings.Join(unknownMessages(literals, c.page), "; "); got != c.want {
			t.Errorf("%s: got %q, want %q", c.page, got, c.want)
		}
	}
}

// The page that names rows of tests' tables, in quotation marks; dots at the end stand for the rest of a name.
const scenariosPage = "docs/failure-scenarios.md"

var quotedRowName = regexp.MustCompile(`"([^"\n]+)"`)

// unknownRows lists the rows that a page names and that no test has.
func unknownRows(literals map[string]bool, page string) []string {
	var unknown []string
	for _, match := range quotedRowName.FindAllStringSubmatch(page, -1) {
		prefix, truncated := strings.CutSuffix(match[1], " ...")
		known := literals[prefix]
		for literal := range literals {
			known = known || truncated && strings.HasPrefix(literal, prefix)
		}
		if !known {
			unknown = append(unknown, match[1])
		}
	}
	return unknown
}

// Every row of a test that the page on failures names is in some test.
func TestScenariosPageNamesRows(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(moduleRoot, scenariosPage))
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range unknownRows(readLiterals(t, true), string(page)) {
		t.Errorf("%s names the row %q, which no test has", scenariosPage, row)
	}
}

func TestUnknownRows(t *testing.T) {
	literals := map[string]bool{"writes come late, the leader ends": true, "machines are mute": true}
	cases := []struct{ page, want string }{
		{`TestX "writes come late ...", "machines are mute"`, ""},
		{`TestX "machines are"`, "machines are"},
		{`TestX "writes are lost ..."`, "writes are lost ..."},
	}
	for _, c := range cases {
		if got := strings.Join(unknownRows(literals, c.page), "; "); got != c.want {
			t.Errorf("%s: got %q, want %q", c.page, got, c.want)
		}
	}
}

// declarations is every name that the module's sources declare: "package.Name", "package.Type.Member", and the
// names of tests alone.
type declarations map[string]bool

// addFile adds what a file declares.
func (d declarations) addFile(file *ast.File) {
	pkg := strings.TrimSuffix(file.Name.Name, "_test")
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			d.addFunc(pkg, declaration)
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				d.addSpec(pkg, spec)
			}
		}
	}
}

func (d declarations) addFunc(pkg string, function *ast.FuncDecl) {
	name := function.Name.Name
	if function.Recv == nil {
		d[pkg+"."+name] = true
		if testName.MatchString(name) {
			d[name] = true
		}
		return
	}
	receiver := ""
	ast.Inspect(function.Recv.List[0].Type, func(n ast.Node) bool {
		if identifier, ok := n.(*ast.Ident); ok && receiver == "" {
			receiver = identifier.Name
		}
		return receiver == ""
	})
	d[pkg+"."+receiver+"."+name] = true
}

func (d declarations) addSpec(pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			d[pkg+"."+name.Name] = true
		}
	case *ast.TypeSpec:
		d[pkg+"."+spec.Name.Name] = true
		var members *ast.FieldList
		switch t := spec.Type.(type) {
		case *ast.StructType:
			members = t.Fields
		case *ast.InterfaceType:
			members = t.Methods
		default:
			return
		}
		for _, member := range members.List {
			for _, name := range member.Names {
				d[pkg+"."+spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// readDeclarations parses all sources, tests included.
func readDeclarations(t *testing.T) declarations {
	t.Helper()
	declared := declarations{}
	for _, path := range goFiles(t) {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		declared.addFile(file)
	}
	return declared
}

// unknownNames lists the names of a page that no source declares: identifiers with their package in backquotes,
// and tests wherever they are named.
func unknownNames(declared declarations, page string) []string {
	var unknown []string
	for _, match := range backquoted.FindAllStringSubmatch(page, -1) {
		name := strings.TrimSuffix(match[1], "()")
		if qualifiedName.MatchString(name) && !hasSuffix(name, fileSuffixes) && !declared[name] {
			unknown = append(unknown, name)
		}
	}
	for _, name := range testName.FindAllString(page, -1) {
		if !declared[name] {
			unknown = append(unknown, name)
		}
	}
	return unknown
}

func hasSuffix(name string, suffixes []string) bool {
	for _, suffix := range suffixes {
		if strings.HasSuffix(name, suffix) {
			return true
		}
	}
	return false
}

// namedPaths lists the files and folders that a page names: links, relative to the page's folder, and paths in
// backquotes, relative to the module's root. Both are given as seen from the module's root.
func namedPaths(page, folder string) []string {
	var named []string
	for _, match := range link.FindAllStringSubmatch(page, -1) {
		named = append(named, filepath.Join(folder, match[1]))
	}
	for _, match := range backquoted.FindAllStringSubmatch(page, -1) {
		if sourcePath.MatchString(match[1]) {
			named = append(named, match[1])
		}
	}
	return named
}

// pages lists the pages to be checked by their paths from this package.
func pages(t *testing.T) []string {
	t.Helper()
	var found []string
	for _, pattern := range pagePatterns {
		matches, err := filepath.Glob(filepath.Join(moduleRoot, pattern))
		if err != nil {
			t.Fatal(err)
		}
		if len(matches) == 0 {
			t.Fatalf("no page matches %s", pattern)
		}
		found = append(found, matches...)
	}
	return found
}

// Every function, type, test, file and folder that a page names exists, so that the pages follow the code.
func TestPagesNameWhatExists(t *testing.T) {
	declared := readDeclarations(t)
	for _, path := range pages(t) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		name := belowRoot(t, path)
		for _, unknown := range unknownNames(declared, string(text)) {
			t.Errorf("%s names %s, which no source declares", name, unknown)
		}
		for _, named := range namedPaths(string(text), filepath.Dir(name)) {
			if _, err := os.Stat(filepath.Join(moduleRoot, named)); err != nil {
				t.Errorf("%s names %s, which doesn't exist", name, named)
			}
		}
	}
}

// The page on the architecture has every package of the table of layers.
func TestArchitecturePageHasEveryPackage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(moduleRoot, onCallPage))
	if err != nil {
		t.Fatal(err)
	}
	for _, rows := range layers {
		for _, r := range rows {
			if !r.planned && !strings.Contains(string(page), "`"+r.path+"`") {
				t.Errorf("%s doesn't name %s", onCallPage, r.path)
			}
		}
	}
}

func TestUnknownNames(t *testing.T) {
	const code = `package shop

const Limit = 1

type Counter struct{ total int }

func (c *Counter) Add(n int) {}

type Seller interface{ Sell() }

func Open() {}

func TestOpen() {}
`
	file, err := parser.ParseFile(token.NewFileSet(), "shop.go", code, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	declared := declarations{}
	declared.addFile(file)
	cases := []struct {
		page string
		want string // empty where nothing is reported
	}{
		{"`shop.Open`, `shop.Open()`, `shop.Limit`, `shop.Counter`", ""},
		{"`shop.Counter.Add`, `shop.Counter.total`, `shop.Seller.Sell`", ""},
		{"`shop.Close`", "shop.Close"},
		{"`shop.Counter.Remove`", "shop.Counter.Remove"},
		{"`store.Open`", "store.Open"},
		{"TestOpen, and `go test -run TestOpen`", ""},
		{"TestClose", "TestClose"},
		{"`settings.yaml`, `Open`, `a b.c`, shop.Close, `shop/x.go`", ""},
	}
	for _, c := range cases {
		if got := strings.Join(unknownNames(declared, c.page), " "); got != c.want {
			t.Errorf("%s: got %q, want %q", c.page, got, c.want)
		}
	}
}

func TestPaths(t *testing.T) {
	cases := []struct{ page, folder, want string }{
		{"[a](design.md#x)", "docs", "docs/design.md"},
		{"[a](../notes/b.md)", "docs/operators", "docs/notes/b.md"},
		{"[a](https://example.org/x.md)", "docs", ""},
		{"`internal/quota`, `cmd/pipitgap`, `gap2/open/x`", ".", "internal/quota cmd/pipitgap"},
		{"`go test ./internal/quota`", ".", ""},
	}
	for _, c := range cases {
		if got := strings.Join(namedPaths(c.page, c.folder), " "); got != c.want {
			t.Errorf("%s: got %q, want %q", c.page, got, c.want)
		}
	}
}
