package protocol

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// commonWords lists the wire names that are also standard terms or common words. Other code uses them as
// whole literals with another meaning: in stored keys, settings, commands and their output, and names of test
// cases. The test can't tell from a literal which meaning is intended, so it allows these names everywhere.
var commonWords = wordSet(
	"ask busy cancelled cause done error exited failed full id kill log name number path " +
		"pending rate run running status stopped unknown value",
)

// phraseWords lists the wire names that other code uses as words within messages and settings, but never as a
// whole literal. The test rejects them only as a whole literal.
var phraseWords = wordSet("accelerators apart calls cores kept rank shape write")

func wordSet(words string) map[string]bool {
	set := map[string]bool{}
	for _, word := range strings.Fields(words) {
		set[word] = true
	}
	return set
}

var wireWord = regexp.MustCompile(`[A-Za-z0-9_]+`)

// wireNames returns the wire names that this package defines in msgpack tags and string constants. Constants
// that begin with a slash are paths, all other names are words.
func wireNames(t *testing.T) (words map[string]bool, paths []string) {
	t.Helper()
	words = map[string]bool{}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed := parse(t, token.NewFileSet(), file)
		ast.Inspect(parsed, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.Field:
				if node.Tag != nil {
					tag := reflect.StructTag(literal(t, node.Tag)).Get("msgpack")
					name, _, _ := strings.Cut(tag, ",")
					words[name] = true
				}
			case *ast.GenDecl:
				if node.Tok == token.CONST {
					for _, value := range stringLiterals(node) {
						if text := literal(t, value); strings.HasPrefix(text, "/") {
							paths = append(paths, text)
						} else {
							words[text] = true
						}
					}
				}
			}
			return true
		})
	}
	delete(words, "")
	return words, paths
}

// TestWireNames checks that only this package has string literals with the protocol's themed names. All other
// code and its tests use standard terms.
func TestWireNames(t *testing.T) {
	words, paths := wireNames(t)
	for _, known := range []string{
		"crew", "pips", "plumage", "perch_s", "breeds", "grove", "borrowed", "lane", "sweep", "daemon",
	} {
		if !words[known] {
			t.Errorf("got wire names without %q, want it found in the package's sources", known)
		}
	}
	if len(paths) < 3 {
		t.Errorf("got %d paths %q, want at least 3", len(paths), paths)
	}
	for _, exceptions := range []map[string]bool{commonWords, phraseWords} {
		for word := range exceptions {
			if !words[word] {
				t.Errorf("got exception %q, which is not a wire name; want only wire names as exceptions", word)
			}
		}
	}
	for word := range commonWords {
		delete(words, word)
	}
	filesRead := 0
	for _, root := range []string{"../../internal", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() && path == filepath.Join(root, "protocol") {
				return fs.SkipDir
			}
			if entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return nil
			}
			filesRead++
			checkLiterals(t, path, words, paths)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if filesRead < 50 {
		t.Errorf("got %d files read, want at least 50", filesRead)
	}
}

// checkLiterals reports an error for each string literal of a file that contains a wire name or wire path.
func checkLiterals(t *testing.T, path string, words map[string]bool, paths []string) {
	t.Helper()
	files := token.NewFileSet()
	for _, value := range stringLiterals(parse(t, files, path)) {
		text := literal(t, value)
		if isPackagePath(text) {
			continue
		}
		for _, word := range wireWord.FindAllString(text, -1) {
			if words[word] && (word == text || !phraseWords[word]) {
				t.Errorf("%s: got wire name %q in %s, want none", files.Position(value.Pos()), word, value.Value)
			}
		}
		for _, wirePath := range paths {
			if strings.Contains(text, wirePath) {
				t.Errorf("%s: got wire path %q in %s, want none", files.Position(value.Pos()), wirePath, value.Value)
			}
		}
	}
}

// isPackagePath reports whether a literal is the path of a package of this module, such as internal/daemon.
func isPackagePath(text string) bool {
	if !strings.HasPrefix(text, "internal/") {
		return false
	}
	info, err := os.Stat(filepath.Join("../..", text))
	return err == nil && info.IsDir()
}

func parse(t *testing.T, files *token.FileSet, path string) *ast.File {
	t.Helper()
	parsed, err := parser.ParseFile(files, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// stringLiterals returns the string literals below a node, except imports and struct tags. Struct tags are
// exempt because the tags of stored records define their own names.
func stringLiterals(root ast.Node) []*ast.BasicLit {
	var found []*ast.BasicLit
	ast.Inspect(root, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.Field:
			if node.Tag != nil {
				return false
			}
		case *ast.BasicLit:
			if node.Kind == token.STRING {
				found = append(found, node)
			}
		}
		return true
	})
	return found
}

func literal(t *testing.T, value *ast.BasicLit) string {
	t.Helper()
	text, err := strconv.Unquote(value.Value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
