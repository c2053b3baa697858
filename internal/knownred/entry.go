package main

import (
	"fmt"
	"os/exec"
	"regexp"
	"strings"
)

// An entry is a test that is known to fail.
type entry struct {
	pkg     string // package path, relative to the module root
	test    string // name of a test function, or of a subtest with slashes
	command string // command and seed that repeat the failure
	seen    string // what was seen
	issue   string // number of the open issue
}

const (
	fieldSeparator = " | "
	fieldCount     = 5
	maxEntries     = 3
)

var (
	packagePath = regexp.MustCompile(`^\./[\w./-]+$`)
	testName    = regexp.MustCompile(`^Test\w+(/[^\s|]+)*$`)
	issueNumber = regexp.MustCompile(`^issue \d+$`)
)

// parseEntries parses the list: one entry a line, with the fields package, test, command, what was seen and
// issue. Empty lines and lines that start with # are ignored.
func parseEntries(text string) ([]entry, error) {
	var entries []entry
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parsed, err := parseEntry(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", listPath, i+1, err)
		}
		entries = append(entries, parsed)
	}
	if len(entries) > maxEntries {
		return nil, fmt.Errorf("%s: %d entries, at most %d are allowed", listPath, len(entries), maxEntries)
	}
	return entries, nil
}

func parseEntry(line string) (entry, error) {
	fields := strings.Split(line, fieldSeparator)
	if len(fields) != fieldCount {
		return entry{}, fmt.Errorf("%d fields, want %d separated by %q", len(fields), fieldCount, fieldSeparator)
	}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	parsed := entry{pkg: fields[0], test: fields[1], command: fields[2], seen: fields[3], issue: fields[4]}
	switch {
	case !packagePath.MatchString(parsed.pkg):
		return entry{}, fmt.Errorf("package %q, want a path that starts with ./", parsed.pkg)
	case !testName.MatchString(parsed.test):
		return entry{}, fmt.Errorf("test %q, want the name of a test", parsed.test)
	case parsed.command == "" || parsed.seen == "":
		return entry{}, fmt.Errorf("test %s: command or what was seen is missing", parsed.test)
	case !issueNumber.MatchString(parsed.issue):
		return entry{}, fmt.Errorf("test %s: issue %q, want issue NUMBER", parsed.test, parsed.issue)
	}
	return parsed, nil
}

// pattern returns the -run or -skip pattern that matches exactly the entry's test.
func (e entry) pattern() string {
	var levels []string
	for _, level := range strings.Split(e.test, "/") {
		levels = append(levels, "^"+regexp.QuoteMeta(level)+"$")
	}
	return strings.Join(levels, "/")
}

// skipPattern returns the -skip pattern that matches exactly the tests of the entries.
func skipPattern(entries []entry) string {
	var patterns []string
	for _, e := range entries {
		patterns = append(patterns, e.pattern())
	}
	return strings.Join(patterns, "|")
}

// requireExists returns an error if the entry's package has no such test function.
func (e entry) requireExists() error {
	function, _, _ := strings.Cut(e.test, "/")
	output, err := exec.Command("go", "test", "-list", "^"+function+"$", e.pkg).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s: %s: %w\n%s", listPath, e.pkg, err, output)
	}
	if !strings.HasPrefix(string(output), function+"\n") {
		return fmt.Errorf("%s: %s has no test %s", listPath, e.pkg, function)
	}
	return nil
}

// runAndReport runs the entry's test and prints its output and its verdict. It returns an error if the test,
// a subtest, does not exist.
func (e entry) runAndReport() error {
	fmt.Printf("known red: %s %s (%s): %s\n", e.pkg, e.test, e.issue, e.seen)
	output, failure := exec.Command("go", "test", "-count=1", "-v", "-run="+e.pattern(), e.pkg).CombinedOutput()
	fmt.Printf("%s", output)
	verdict, err := e.verdict(string(output), failure != nil)
	if err != nil {
		return err
	}
	fmt.Println(verdict)
	return nil
}

// verdict returns the line on a run of the entry's test, given the verbose output of the run.
func (e entry) verdict(output string, failed bool) (string, error) {
	switch {
	case !strings.Contains(output, "=== RUN   "+e.test+"\n"):
		return "", fmt.Errorf("%s: %s has no test %s", listPath, e.pkg, e.test)
	case failed:
		return fmt.Sprintf("known red: %s fails, as listed; to repeat: %s", e.test, e.command), nil
	}
	return fmt.Sprintf("known red: %s passes now: remove it from %s", e.test, listPath), nil
}
