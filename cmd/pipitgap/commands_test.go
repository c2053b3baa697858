package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/fixtures"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
	"pipitgap/internal/standin/loopback"
)

// commandConfig is what the platform hands over, but for the state service's address.
const commandConfig = `
node = "n-0"
area = "rack-a"
public_addr = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
[external]
cloud = "127.0.0.1:3"
state = %q
[facts]
zones = ["rack-a", "rack-b", "rack-c"]
[[facts.teams]]
name = "wren"
[[facts.teams]]
name = "pipit"
[facts.workers]
report_s = 2.0
lease_s = 12.0
cancel_s = 32.0
[facts.state]
rps = 200.0
write_rps = 50.0
value_kb = 4.0
txn_ops = 12
[facts.cloud]
rps = 6.0
[facts.quota]
memory_mb = 100.0
max_connections = 500
`

const commandSettings = `
drains:
  max_parallel: 5
  budgets:
    - {team: wren, class: high, min_available: 50%, reserve_machines: 1}
`

// commandRecords are the records that the commands find: unfinished and ended drains, machines in
// all states, replicas that run, start and are being moved, and a controller that is gone.
func commandRecords() []protocol.Op {
	const at = 1_764_687_600_123_456
	put := func(kind, name string, record any) protocol.Op {
		return protocol.Op{Put: bookkeeping.Key(kind, name), Value: protocol.MustMarshal(record)}
	}
	machine := func(
		num int, zone string, state bookkeeping.MachineState, spot bool,
	) *bookkeeping.ShardMachine {
		return &bookkeeping.ShardMachine{Number: num, Type: "m8", Zone: zone, Spot: spot,
			Endpoint: "10.0.0.1:9000", State: state}
	}
	service := func(team string, tasks int, cpus float64) *bookkeeping.OpenJob {
		return &bookkeeping.OpenJob{AcceptedAt: at, Spec: bookkeeping.JobSpec{Class: "high", Team: team, Service: true,
			Priority: 3, Tasks: tasks, CPUs: cpus, MemoryGB: 2, Image: "i", ImageGB: 1, EstimateS: 60}}
	}
	array := &bookkeeping.OpenJob{AcceptedAt: at, Spec: bookkeeping.JobSpec{Class: "low", Team: "pipit", Priority: 1,
		Tasks: 2, CPUs: 1, MemoryGB: 2, Image: "i", ImageGB: 1, EstimateS: 60}}
	own := &bookkeeping.Shard{Owner: "n-0", Incarnation: 7, Claim: 1,
		Machines: map[string]*bookkeeping.ShardMachine{
			"i-01": machine(0, "rack-a", bookkeeping.MachineCordoned, false),
			"i-02": machine(1, "rack-a", bookkeeping.MachineCordoned, false),
			"i-03": machine(2, "rack-b", bookkeeping.MachineOpen, false),
			"i-04": machine(3, "rack-b", bookkeeping.MachineUnreachable, true),
			"i-05": machine(4, "rack-b", bookkeeping.MachineDraining, true),
			"i-06": machine(5, "rack-b", bookkeeping.MachineRemoving, false),
			"i-07": machine(6, "rack-c", bookkeeping.MachineOpen, false),
			"i-08": machine(7, "rack-c", bookkeeping.MachineOpen, false),
			"i-10": machine(8, "rack-a", bookkeeping.MachineOpen, false),
		}, Jobs: map[string]*bookkeeping.ShardJob{
			"web": {Attempts: []bookkeeping.Attempt{
				{Task: 0, Machine: "i-01", Number: 11}, {Task: 1, Machine: "i-01", Number: 11},
				{Task: 2, Machine: "i-02", Number: 12, Starting: true},
				{Task: 3, Machine: "i-03", Number: 13},
				{Task: 4, Machine: "i-07", Number: 14}, {Task: 5, Machine: "i-07", Number: 15}}},
			"array": {Attempts: []bookkeeping.Attempt{{Task: 0, Machine: "i-02", Number: 16},
				{Task: 1, Machine: "i-08", Number: 17}}},
		}}
	orphaned := &bookkeeping.Shard{Owner: "n-1", Incarnation: 8, Claim: 1,
		Machines: map[string]*bookkeeping.ShardMachine{
			"i-09": machine(0, "rack-a", bookkeeping.MachineCordoned, false),
		}, Jobs: map[string]*bookkeeping.ShardJob{
			"large": {Attempts: []bookkeeping.Attempt{{Task: 0, Machine: "i-09", Number: 18}}},
		}}
	shard := func(name string, s *bookkeeping.Shard) protocol.Op {
		raw, _ := s.Encode()
		return protocol.Op{Put: bookkeeping.Key(bookkeeping.KindShard, name), Value: raw}
	}
	drainOf := func(
		state bookkeeping.DrainState, reason string, selector bookkeeping.Selector, ended int64,
	) *bookkeeping.Drain {
		return &bookkeeping.Drain{State: state, Reason: reason, Selector: selector, Replace: true,
			MaxParallel: 5, StartedAt: at, EndedAt: ended}
	}
	return []protocol.Op{
		put(bookkeeping.KindMember, "n-0", &bookkeeping.Member{Incarnation: 7, Zone: "rack-a"}),
		put(bookkeeping.KindMachineType, "m8", &bookkeeping.MachineType{CPUs: 8, MemoryGB: 64,
			Zones: []string{"rack-a", "rack-b", "rack-c"}}),
		put(bookkeeping.KindOpenJob, "web", service("wren", 6, 3)),
		put(bookkeeping.KindOpenJob, "large", service("pipit", 2, 8)),
		put(bookkeeping.KindOpenJob, "array", array),
		shard("own", own), shard("orphaned", orphaned),
		put(bookkeeping.KindPermits, "wren", &bookkeeping.Permits{Permits: []bookkeeping.Permit{
			{Drain: "emptying", Job: "web", Task: 0, Attempt: 11, From: "i-01", To: "i-03", GrantedAt: at}}}),
		put(bookkeeping.KindDrain, "emptying", drainOf(bookkeeping.DrainActive, "",
			bookkeeping.Selector{Zone: "rack-a"}, 0)),
		put(bookkeeping.KindDrain, "by-name", drainOf(bookkeeping.DrainPaused, "paused by an operator",
			bookkeeping.Selector{Machines: []string{"i-04", "i-05", "i-06"}}, 0)),
		put(bookkeeping.KindDrain, "nothing-left", drainOf(bookkeeping.DrainDrained, "nothing is left",
			bookkeeping.Selector{Zone: "rack-b", Type: "m9", CapacityType: bookkeeping.SpotCapacity}, at+5)),
		put(bookkeeping.KindDrain, "over", drainOf(bookkeeping.DrainDone, "",
			bookkeeping.Selector{Zone: "rack-b"}, at+6)),
	}
}

// commandScript are the commands in their order; each finds what the earlier ones have left.
var commandScript = []string{
	"list", "budgets", "status emptying", "status by-name", "status nothing-left", "status over",
	"status unknown",
	"start next --zone rack-c --dry-run", "start next --zone rack-c --replace --dry-run",
	"start next --zone rack-c --at-once --max-parallel 1",
	"start next --zone rack-c --at-once --max-parallel 1",
	"start next --zone rack-c", "start other --machine i-07", "start other", "start other --zone rack-d",
	"start other --kind spot --zone rack-c",
	"pause next", "pause next", "resume next", "resume next", "abort next", "abort next", "resume next",
	"abort nothing-left", "pause unknown", "list",
}

// run carries out one command line as main does, and returns what it prints and its exit status.
func run(t *testing.T, words []string) (output string, status int) {
	t.Helper()
	var c commandLine
	parser, err := kong.New(&c, kong.Name("pipitgap"))
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := parser.Parse(words)
	if err != nil {
		t.Fatal(err)
	}
	output = printed(t, func() error {
		if err := parsed.Run(); err != nil {
			status = exitStatus(err)
		}
		return nil
	})
	return output, status
}

// TestJSONOfCommands: every command about drains prints the same JSON as before and ends with the
// same status, on the same records.
func TestJSONOfCommands(t *testing.T) {
	const perSecond, txnOps = 1000, 50
	sim := standin.NewSimClock(1)
	store := standin.NewStateStore(sim, perSecond, perSecond, txnOps)
	written := protocol.Outcome(0)
	txn := protocol.Transaction{Then: commandRecords()}
	store.Call("setup", &protocol.StoreCall{Op: protocol.StoreCommit, Timeout: micros.Second, Transaction: txn},
		func(r protocol.StoreResult) { written = r.Outcome })
	if sim.Run(micros.Second); written != protocol.OK {
		t.Fatal(written)
	}
	folder := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	flags := []string{"--json", "--config", file("config.toml",
		fmt.Sprintf(commandConfig, loopback.ServeState(t, sim, store))),
		"--settings", file("settings.yaml", commandSettings)}
	var transcript strings.Builder
	for _, command := range commandScript {
		output, status := run(t, append(append([]string{"drain"}, strings.Fields(command)...), flags...))
		fmt.Fprintf(&transcript, "$ pipitgap drain %s --json\n%s# status %d\n\n", command, output, status)
	}
	got := transcript.String()
	fixtures.Equal(t, "commands", []byte(fixtures.Text(t, "json/commands.txt", got)), []byte(got))
}
