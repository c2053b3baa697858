package coordination

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// playFullTeam has a team at its limit of 12 CPUs wait beside a machine with room, and gives n-0's lines of
// the log about that.
func playFullTeam(t *testing.T) (queueHead, summary string) {
	t.Helper()
	c := newCluster(t, 51).startWithLeader()
	c.submit(600*second, withTasks(40), withTeam("tight"))
	c.sim.Run(40 * second)
	var log bytes.Buffer
	controller := c.nodes["n-0"].controller
	controller.log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	controller.LogQueue()
	c.requireNoViolations()
	return log.String(), controller.Summary()
}

// TestQueueHeadShowsTeamAtItsLimit: whoever is on call sees from two lines that a job waits for its team's
// limit.
func TestQueueHeadShowsTeamAtItsLimit(t *testing.T) {
	queueHead, summary := playFullTeam(t)
	for _, want := range []string{`msg="queue head"`, " j-000001(", " tight ", "tight share ", "unassigned 0"} {
		if !strings.Contains(queueHead, want) {
			t.Errorf("no %q in %s", want, queueHead)
		}
	}
	if want := " tight 12/12"; !strings.Contains(summary, want) {
		t.Errorf("no %q in %s", want, summary)
	}
}

// TestReadmeExplainsFieldsOfTheLog: each field within the texts of summary and queue head stands in README's
// table of them.
func TestReadmeExplainsFieldsOfTheLog(t *testing.T) {
	readme, err := os.ReadFile(filepath.Join("..", "..", "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(readme), "Fields within the texts:")
	section, _, _ = strings.Cut(section, "For a search in older logs:")
	if !found {
		t.Fatal("README has no table of fields")
	}
	queueHead, summary := playFullTeam(t)
	// A field is a name followed by its value.
	fields := regexp.MustCompile(`([a-z_]+) (?:[0-9]+|true|false|-[0-9]+)\b`)
	names := map[string]bool{}
	for _, match := range fields.FindAllStringSubmatch(summary+queueHead, -1) {
		names[match[1]] = true
	}
	const expectedFields = 20
	if len(names) < expectedFields {
		t.Fatalf("only the fields %v in %s %s", names, summary, queueHead)
	}
	for name := range names {
		if name != "tight" && !strings.Contains(section, "`"+name+"`") {
			t.Errorf("README doesn't explain %q", name)
		}
	}
}
