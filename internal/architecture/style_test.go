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

// Lines are to wrap at about 110 columns; a tab counts as tabColumns. What is wider than maxColumns is a
// fault.
const (
	maxColumns = 120
	tabColumns = 4
)

// packagesWithWideLines has the packages whose code still has wider lines. A row is taken out once its package has none.
var packagesWithWideLines = map[string]bool{}

// wideLines gives the numbers of the lines that are too wide. Struct tags are left out: they can't be broken.
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

// Code outside of tests has no line wider than the bound, but for the packages listed, which have some.
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
				t.Errorf("%s:%d is wider than %d columns", name, line, maxColumns)
			}
		}
	}
	for pkg := range packagesWithWideLines {
		if found[pkg] == 0 {
			t.Errorf("%s has no line wider than %d columns: take it out of packagesWithWideLines", pkg, maxColumns)
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
		{"at the bound", atBound, "[]"},
		{"over the bound", "\n" + atBound + "x\n", "[2]"},
		{"characters, not bytes", strings.Repeat("ü", maxColumns), "[]"},
		{"a tab is four columns", "\t" + strings.Repeat("x", maxColumns-tabColumns+1), "[1]"},
		{"a tab within the bound", "\t" + strings.Repeat("x", maxColumns-tabColumns), "[]"},
		{"a struct tag", atBound + " `help:\"\"`", "[]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := fmt.Sprint(wideLines(c.text)); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// undocumented lists the exported items of a file without a doc comment; the form of those that are there is
// staticcheck's to check. The comment of a group or of its line serves for constants and variables.
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

// exportedReceiver tells whether a function has no receiver or one of an exported type.
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

// Every exported item outside of tests has a doc comment.
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
			t.Errorf("%s: %s has no doc comment", belowRoot(t, name), item)
		}
	}
}

func TestUndocumented(t *testing.T) {
	cases := []struct {
		name string
		code string
		want string
	}{
		{"function", "func F() {}", "[F]"},
		{"function with a comment", "// F does.\nfunc F() {}", "[]"},
		{"own function", "func f() {}", "[]"},
		{"method", "func (*T) M() {}", "[M]"},
		{"method of a generic type", "func (*T[k]) M() {}", "[M]"},
		{"method of an own type", "func (t) M() {}", "[]"},
		{"type", "type T int", "[T]"},
		{"type with a comment", "// T is.\ntype T int", "[]"},
		{"types of a group", "// Types.\ntype (\n\tT int\n\t// U is.\n\tU int\n)", "[T]"},
		{"constants", "const (\n\tA = 1\n\tb = 2\n)", "[A]"},
		{"constants of a group with a comment", "// Numbers.\nconst (\n\tA = 1\n\tB = 2\n)", "[]"},
		{"variable with a comment behind it", "var V int // is", "[]"},
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
