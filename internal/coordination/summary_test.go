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

// simulateTeamAtLimit simulates a team that waits because it has reached its limit of 12 CPUs, although a
// machine has room. It returns n-0's log line about the head of the queue and its summary.
func simulateTeamAtLimit(t *testing.T) (queueHead, summary string) {
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

// TestQueueHeadShowsTeamAtItsLimit: the queue head and the summary in the log show an operator that a job
// waits because its team has reached its limit.
func TestQueueHeadShowsTeamAtItsLimit(t *testing.T) {
	queueHead, summary := simulateTeamAtLimit(t)
	for _, want := range []string{`msg="queue head"`, " j-000001(", " tight ", "tight share ", "unassigned 0"} {
		if !strings.Contains(queueHead, want) {
			t.Errorf("queue head: got %s, want it to contain %q", queueHead, want)
		}
	}
	if want := " tight 12/12"; !strings.Contains(summary, want) {
		t.Errorf("summary: got %s, want it to contain %q", summary, want)
	}
}

// TestReadmeExplainsFieldsOfTheLog: the table in README.md explains every field in the texts of the summary
// and the queue head.
func TestReadmeExplainsFieldsOfTheLog(t *testing.T) {
	readme, err := os.ReadFile(filepath.Join("..", "..", "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(readme), "Fields within the texts:")
	section, _, _ = strings.Cut(section, "For a search in older logs:")
	if !found {
		t.Fatal("README.md: no section \"Fields within the texts:\"")
	}
	queueHead, summary := simulateTeamAtLimit(t)
	// A field is a name followed by its value. A team and its use also match.
	fields := regexp.MustCompile(`([a-z_]+) (?:[0-9]+|true|false|-[0-9]+)\b`)
	names := map[string]bool{}
	for _, match := range fields.FindAllStringSubmatch(summary+queueHead, -1) {
		names[match[1]] = true
	}
	const expectedFields = 20
	if len(names) < expectedFields {
		t.Fatalf(
			"got %d fields %v in %s %s, want at least %d",
			len(names),
			names,
			summary,
			queueHead,
			expectedFields,
		)
	}
	for name := range names {
		if name != "tight" && !strings.Contains(section, "`"+name+"`") {
			t.Errorf("README.md: field %q is not explained", name)
		}
	}
}
