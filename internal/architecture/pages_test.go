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

// pagePatterns match the documentation pages that the tests check, relative to the module root. They leave
// out the pages on incidents, because those quote the log messages and names of their time.
var pagePatterns = []string{"README.md", "docs/*.md", "docs/operators/*.md"}

var (
	// qualifiedName matches an identifier with its package, and with its type if it is a method or field.
	qualifiedName = regexp.MustCompile(`^[a-z][a-z0-9]*(\.[A-Za-z_][A-Za-z0-9_]*){1,2}$`)
	testName      = regexp.MustCompile(`\b(Test|Benchmark|Fuzz)[A-Z][A-Za-z0-9_]*\b`)
	backquoted    = regexp.MustCompile("`([^`\n]+)`")
	sourcePath    = regexp.MustCompile(`^(cmd|internal|deploy|docs)/[A-Za-z0-9_./-]*$`)
	link          = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
)

// fileSuffixes are the suffixes by which a name in backquotes is a file and not an identifier.
var fileSuffixes = []string{".go", ".json", ".md", ".mod", ".toml", ".txt", ".yaml"}

// onCallPage is the page for on-call engineers. It must name every package, and the log messages that it
// quotes must exist. Other pages may quote messages of earlier versions.
const onCallPage = "docs/architecture.md"

// logMessage matches several words in lower case. Commands also match; they begin with the name of the
// program.
var logMessage = regexp.MustCompile(`^[a-z][a-z-]*(,? [a-z-]+)+$`)

// unknownMessages lists the log messages that a page quotes but that are not among the string literals of the
// sources.
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

// readLiterals collects the string literals of all test files, or of all other files. It skips the files of
// this package.
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

// TestOnCallPageQuotesLogMessages guards against on-call instructions that refer to a log message that no
// longer exists.
func TestOnCallPageQuotesLogMessages(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(moduleRoot, onCallPage))
	if err != nil {
		t.Fatal(err)
	}
	for _, message := range unknownMessages(readLiterals(t, false), string(page)) {
		t.Errorf("%s quotes the log message %q, want a message that occurs in the sources", onCallPage, message)
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
			t.Errorf("page text %s: got unknown messages %q, want %q", c.page, got, c.want)
		}
	}
}

// scenariosPage is the page on failure scenarios. It names rows of tables in tests, in quotation marks. A name
// may be shortened: it then ends in " ..." after its first words.
const scenariosPage = "docs/failure-scenarios.md"

var quotedRowName = regexp.MustCompile(`"([^"\n]+)"`)

// unknownRows lists the row names that a page mentions but that are not among the string literals of the
// tests.
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

// TestScenariosPageNamesRows guards against a page on failure scenarios that refers to a row that no longer
// exists.
func TestScenariosPageNamesRows(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(moduleRoot, scenariosPage))
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range unknownRows(readLiterals(t, true), string(page)) {
		t.Errorf("%s names the row %q, want a row that occurs in a test", scenariosPage, row)
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
			t.Errorf("page text %s: got unknown rows %q, want %q", c.page, got, c.want)
		}
	}
}

// declarations is the set of names that the sources of the module declare: "package.Name",
// "package.Type.Member", and the names of tests without their package.
type declarations map[string]bool

// addFile adds the declarations of a file.
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

// readDeclarations collects the declarations of all sources, including tests.
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

// unknownNames lists the names on a page that no source declares. It checks qualified identifiers in
// backquotes, and names of tests anywhere.
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

// namedPaths lists the files and folders that a page names: the targets of links, which are relative to the
// folder of the page, and paths in backquotes, which are relative to the module root. It returns all paths
// relative to the module root.
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

// pages lists the pages that the tests check, by their paths relative to this package.
func pages(t *testing.T) []string {
	t.Helper()
	var found []string
	for _, pattern := range pagePatterns {
		matches, err := filepath.Glob(filepath.Join(moduleRoot, pattern))
		if err != nil {
			t.Fatal(err)
		}
		if len(matches) == 0 {
			t.Fatalf("pattern %s: got no matching page, want at least 1", pattern)
		}
		found = append(found, matches...)
	}
	return found
}

// TestPagesNameWhatExists guards against pages that fall behind the code: every function, type, test, file
// and folder that a page names must exist.
func TestPagesNameWhatExists(t *testing.T) {
	declared := readDeclarations(t)
	for _, path := range pages(t) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		name := belowRoot(t, path)
		for _, unknown := range unknownNames(declared, string(text)) {
			t.Errorf("%s names %s, want a name that the sources declare", name, unknown)
		}
		for _, named := range namedPaths(string(text), filepath.Dir(name)) {
			if _, err := os.Stat(filepath.Join(moduleRoot, named)); err != nil {
				t.Errorf("%s names the path %s, want an existing file or folder", name, named)
			}
		}
	}
}

// TestArchitecturePageHasEveryPackage guards against a package that the architecture page does not mention.
func TestArchitecturePageHasEveryPackage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(moduleRoot, onCallPage))
	if err != nil {
		t.Fatal(err)
	}
	for _, rows := range layers {
		for _, r := range rows {
			if !r.planned && !strings.Contains(string(page), "`"+r.path+"`") {
				t.Errorf("%s does not name %s, want every package of layers", onCallPage, r.path)
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
		want string // empty: all names are declared
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
			t.Errorf("page text %s: got undeclared names %q, want %q", c.page, got, c.want)
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
			t.Errorf("page text %s: got paths %q, want %q", c.page, got, c.want)
		}
	}
}
