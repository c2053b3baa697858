package architecture

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"strings"
	"testing"
	"unicode/utf8"
)

// Lines should wrap at about 110 columns. A line of more than maxColumns columns is an error; a tab counts as
// tabColumns.
const (
	maxColumns = 120
	tabColumns = 4
)

// packagesWithWideLines lists the packages that may still have wider lines. Remove a package when it has none
// left.
var packagesWithWideLines = map[string]bool{}

// wideLines returns the numbers of the lines that are too wide. It ignores lines that end in a struct tag,
// because Go cannot break a struct tag.
func wideLines(text string) []int {
	var wide []int
	for i, line := range strings.Split(text, "\n") {
		columns := utf8.RuneCountInString(line) + (tabColumns-1)*strings.Count(line, "\t")
		if columns > maxColumns && !strings.HasSuffix(line, "\"`") {
			wide = append(wide, i+1)
		}
	}
	return wide
}

// TestLineLength guards against lines wider than maxColumns outside of tests, and against outdated
// exceptions.
func TestLineLength(t *testing.T) {
	found := map[string]int{}
	for _, file := range goFiles(t) {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		name := belowRoot(t, file)
		for _, line := range wideLines(string(text)) {
			found[path.Dir(name)]++
			if !packagesWithWideLines[path.Dir(name)] {
				t.Errorf("%s:%d: line is wider than the maximum of %d columns", name, line, maxColumns)
			}
		}
	}
	for pkg := range packagesWithWideLines {
		if found[pkg] == 0 {
			t.Errorf("%s has no line wider than %d columns: remove it from packagesWithWideLines", pkg, maxColumns)
		}
	}
}

func TestWideLines(t *testing.T) {
	atBound := strings.Repeat("x", maxColumns)
	cases := []struct {
		name string
		text string
		want string
	}{
		{"exactly the maximum", atBound, "[]"},
		{"one column over the maximum", "\n" + atBound + "x\n", "[2]"},
		{"counts characters, not bytes", strings.Repeat("ü", maxColumns), "[]"},
		{"tab counts as four columns", "\t" + strings.Repeat("x", maxColumns-tabColumns+1), "[1]"},
		{"tab within the maximum", "\t" + strings.Repeat("x", maxColumns-tabColumns), "[]"},
		{"line that ends in a struct tag", atBound + " `help:\"\"`", "[]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := fmt.Sprint(wideLines(c.text)); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// undocumented lists the exported items of a file that have no doc comment; staticcheck verifies the form of
// existing comments. For constants and variables, a comment on the group or at the end of the line is enough.
func undocumented(file *ast.File) []string {
	var found []string
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Doc == nil && d.Name.IsExported() && exportedReceiver(d) {
				found = append(found, d.Name.Name)
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				found = append(found, undocumentedSpec(d, spec)...)
			}
		}
	}
	return found
}

func undocumentedSpec(group *ast.GenDecl, spec ast.Spec) []string {
	var found []string
	switch s := spec.(type) {
	case *ast.TypeSpec:
		documented := s.Doc != nil || s.Comment != nil || group.Doc != nil && len(group.Specs) == 1
		if !documented && s.Name.IsExported() {
			found = append(found, s.Name.Name)
		}
	case *ast.ValueSpec:
		for _, name := range s.Names {
			if s.Doc == nil && s.Comment == nil && group.Doc == nil && name.IsExported() {
				found = append(found, name.Name)
			}
		}
	}
	return found
}

// exportedReceiver reports whether a function has no receiver or a receiver of an exported type.
func exportedReceiver(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	exported := false
	ast.Inspect(d.Recv.List[0].Type, func(n ast.Node) bool {
		name, ok := n.(*ast.Ident)
		exported = exported || ok && name.IsExported()
		return !ok
	})
	return exported
}

// TestExportedItemsHaveDocComments guards against exported items without a doc comment outside of tests.
func TestExportedItemsHaveDocComments(t *testing.T) {
	for _, name := range goFiles(t) {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		for _, item := range undocumented(file) {
			t.Errorf("%s: exported item %s has no doc comment", belowRoot(t, name), item)
		}
	}
}

func TestUndocumented(t *testing.T) {
	cases := []struct {
		name string
		code string
		want string
	}{
		{"exported function", "func F() {}", "[F]"},
		{"exported function with a comment", "// F does.\nfunc F() {}", "[]"},
		{"unexported function", "func f() {}", "[]"},
		{"exported method", "func (*T) M() {}", "[M]"},
		{"method of a generic type", "func (*T[k]) M() {}", "[M]"},
		{"method of an unexported type", "func (t) M() {}", "[]"},
		{"exported type", "type T int", "[T]"},
		{"exported type with a comment", "// T is.\ntype T int", "[]"},
		{"types in a group with a comment", "// Types.\ntype (\n\tT int\n\t// U is.\n\tU int\n)", "[T]"},
		{"constants in a group without a comment", "const (\n\tA = 1\n\tb = 2\n)", "[A]"},
		{"constants in a group with a comment", "// Numbers.\nconst (\n\tA = 1\n\tB = 2\n)", "[]"},
		{"variable with a comment at the end of the line", "var V int // is", "[]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file, err := parser.ParseFile(
				token.NewFileSet(),
				"f.go",
				"package p\n\n"+c.code,
				parser.ParseComments,
			)
			if err != nil {
				t.Fatal(err)
			}
			if got := fmt.Sprint(undocumented(file)); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}
