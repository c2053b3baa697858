package coordination

import (
	"bufio"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// A course is the trace of everything that the controllers of a simulated cluster send: calls to the state
// service and the cloud, direct commands, peer statuses, and responses to users and workers, each with its
// simulated time and its controller. It is recorded in wire form. Therefore it stays the same when Go
// identifiers are renamed or functions are moved, but changes with any decision, order of calls or random
// draw. testdata/courses.txt holds one hash for each scenario and seed.

const coursesFile = "testdata/courses.txt"

var (
	coursesQuick = flag.Bool(
		"courses-quick",
		false,
		"simulate only the first seed of each scenario of TestCourses",
	)
	coursesRecord = flag.String(
		"courses-record",
		"",
		"write the hashes of TestCourses to this file instead of comparing them",
	)
	coursesText = flag.String(
		"courses-text",
		"",
		"write the full text of each course of TestCourses to this directory",
	)
)

// courseScenario has one course for each of its seeds. run simulates a course; it must call recorder.record
// before the cluster's controllers start.
type courseScenario struct {
	name  string
	seeds int // the seeds are 1 to this number
	run   func(t *testing.T, seed uint64, r *recorder)
}

var courseScenarios = []courseScenario{
	{"random-faults", 24, runRandomFaults},
	{"cancelled-while-refused", 6, runCancelledWhileLeaderRejected},
	{"short-leases", 4, runShortLeases},
	{"small-jobs", 3, runSmallJobs},
	{"drain-faults", 2 * len(drainFaults), runDrainFault},
	{"drain-abort", 4, runDrainAbort},
	{"limits", 4, runLimits},
	{"cloud-and-spot", 4, runCloudAndSpot},
	// Seed 4 of "placement" is left out: its course differs between runs because it depends on the iteration
	// order of a map of jobs. A course that is not reproducible has no hash to compare.
	{"placement", 3, runPlacement},
	{"late-shares", 3, runDelayedQuotaShares},
	{"five-controllers", 2, runFiveControllers},
}

// TestCourses simulates every scenario and compares its courses with the recorded ones. After an intended
// change of behavior, the hashes must be recorded again with -courses-record.
func TestCourses(t *testing.T) {
	recorded := map[string]string{}
	if *coursesRecord == "" {
		recorded = readCourses(t)
	}
	results := make([][]string, len(courseScenarios))
	t.Run("play", func(t *testing.T) {
		for i, sc := range courseScenarios {
			seeds := sc.seeds
			if *coursesQuick {
				seeds = 1
			}
			results[i] = make([]string, seeds)
			for k := range seeds {
				t.Run(fmt.Sprintf("%s/%d", sc.name, k+1), func(t *testing.T) {
					t.Parallel()
					results[i][k] = runCourse(t, sc, uint64(k+1), recorded)
				})
			}
		}
	})
	lines := slices.Concat(results...)
	switch {
	case *coursesRecord != "":
		if t.Failed() || *coursesQuick {
			t.Fatal("got a failed scenario or a part of the courses, want all courses; nothing is recorded")
		}
		if err := os.WriteFile(*coursesRecord, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	case !*coursesQuick && len(lines) != len(recorded):
		t.Errorf("got %d courses, want %d as recorded", len(lines), len(recorded))
	}
}

// runCourse simulates one course, compares its hash with the recorded one and returns its line for the file.
func runCourse(t *testing.T, sc courseScenario, seed uint64, recorded map[string]string) string {
	r := newRecorder(io.Discard)
	if *coursesText != "" {
		file, err := os.Create(filepath.Join(*coursesText, fmt.Sprintf("%s-%d.txt", sc.name, seed)))
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		text := bufio.NewWriter(file)
		defer text.Flush()
		r = newRecorder(text)
	}
	sc.run(t, seed, r)
	name := fmt.Sprintf("%s %d", sc.name, seed)
	got := fmt.Sprintf("%d %s", r.lines, hex.EncodeToString(r.sum.Sum(nil)))
	if *coursesRecord == "" && recorded[name] != got {
		t.Errorf("scenario %s, seed %d: the course differs: got line count and hash %q, want %q as recorded; "+
			"-courses-text DIR writes the full text, to be compared with that of the previous sources",
			sc.name, seed, got, recorded[name])
	}
	return name + " " + got
}

// readCourses returns the recorded line count and hash by scenario and seed.
func readCourses(t *testing.T) map[string]string {
	raw, err := os.ReadFile(coursesFile)
	if err != nil {
		t.Fatal(err)
	}
	recorded := map[string]string{}
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) != 4 {
			t.Fatalf("%s: line %q: got %d fields, want 4", coursesFile, line, len(fields))
		}
		recorded[fields[0]+" "+fields[1]] = fields[2] + " " + fields[3]
	}
	return recorded
}
