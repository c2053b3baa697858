package main

import (
	"strings"
	"testing"
)

const validLine = "./internal/knownred | TestParseEntries/valid | go test ./internal/knownred | seen | issue 36"

// TestParseEntries guards against a malformed list that continuous integration passes over.
func TestParseEntries(t *testing.T) {
	cases := []struct {
		name, text string
		entries    int
		wantError  string
	}{
		{"valid", "# comment\n\n" + validLine + "\n", 1, ""},
		{"empty", "", 0, ""},
		{"field missing", strings.TrimSuffix(validLine, " | issue 36"), 0, "4 fields"},
		{"field empty", strings.Replace(validLine, "| seen |", "|  |", 1), 0, "missing"},
		{"package without ./", strings.TrimPrefix(validLine, "./"), 0, "package"},
		{"pattern instead of a test", strings.Replace(validLine, "TestParseEntries/valid", "Test.*", 1), 0, "test"},
		{"issue without number", strings.TrimSuffix(validLine, " 36"), 0, "issue"},
		{"too many", strings.Repeat(validLine+"\n", maxEntries+1), 0, "entries"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			entries, err := parseEntries(tc.text)
			if len(entries) != tc.entries {
				t.Errorf("got %d entries, want %d", len(entries), tc.entries)
			}
			if (err != nil) != (tc.wantError != "") || err != nil && !strings.Contains(err.Error(), tc.wantError) {
				t.Errorf("got error %v, want one with %q", err, tc.wantError)
			}
		})
	}
}

// TestSkipPatternMatchesWholeNames guards against passing over tests whose names begin like a listed one.
func TestSkipPatternMatchesWholeNames(t *testing.T) {
	entries := []entry{{test: "TestA"}, {test: "TestB/sub.test"}}
	const want = `^TestA$|^TestB$/^sub\.test$`
	if got := skipPattern(entries); got != want {
		t.Errorf("got pattern %s, want %s", got, want)
	}
}

// TestEntryNeedsTest guards against an entry that names no test.
func TestEntryNeedsTest(t *testing.T) {
	if err := (entry{pkg: ".", test: "TestParseEntries"}).requireExists(); err != nil {
		t.Errorf("existing test: got error %v", err)
	}
	if err := (entry{pkg: ".", test: "TestParse"}).requireExists(); err == nil {
		t.Error("missing test: got no error")
	}
}

// TestVerdict guards against a listed test that passes or does not exist without a word.
func TestVerdict(t *testing.T) {
	listed := entry{test: "TestA/sub", command: "go test -run TestA"}
	const ran = "=== RUN   TestA\n=== RUN   TestA/sub\n"
	cases := []struct {
		name, output string
		failed       bool
		want         string // part of the verdict; "": an error
	}{
		{"fails", ran, true, "fails, as listed"},
		{"passes", ran, false, "passes now"},
		{"subtest missing", "=== RUN   TestA\n", false, ""},
		{"longer name only", "=== RUN   TestA/sub2\n", true, ""},
	}
	for _, tc := range cases {
		verdict, err := listed.verdict(tc.output, tc.failed)
		if (err != nil) != (tc.want == "") || !strings.Contains(verdict, tc.want) {
			t.Errorf("%s: got %q and error %v, want %q", tc.name, verdict, err, tc.want)
		}
	}
}
