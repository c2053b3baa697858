package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"pipitgap/internal/fake"
	"pipitgap/internal/fake/loopback"
	"pipitgap/internal/fixtures"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// commandConfig is the platform's configuration. The test fills in the address of the state service.
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

// commandRecords returns the initial records of the state service: unfinished and ended drains, machines in
// all states, replicas that are running, starting or being moved, and the shard of a controller that is no
// longer a member.
func commandRecords() []protocol.Op {
	const at = 1_764_687_600_123_456
	put := func(kind storage.Kind, name string, record any) protocol.Op {
		return protocol.Op{Put: storage.Key(kind, name), Value: protocol.MustMarshal(record)}
	}
	machine := func(
		num int, zone string, state storage.MachineState, spot bool,
	) *storage.ShardMachine {
		return &storage.ShardMachine{Number: num, Type: "m8", Zone: zone, Spot: spot,
			Endpoint: "10.0.0.1:9000", State: state}
	}
	service := func(team string, tasks int, cpus float64) *storage.OpenJob {
		return &storage.OpenJob{
			AcceptedAt: at,
			Spec: storage.JobSpec{Class: "high", Team: team, Service: true,
				Priority: 3, Tasks: tasks, CPUs: cpus, MemoryGB: 2, Image: "i", ImageGB: 1, EstimateS: 60},
		}
	}
	array := &storage.OpenJob{AcceptedAt: at, Spec: storage.JobSpec{Class: "low", Team: "pipit", Priority: 1,
		Tasks: 2, CPUs: 1, MemoryGB: 2, Image: "i", ImageGB: 1, EstimateS: 60}}
	own := &storage.Shard{Owner: "n-0", Incarnation: 7, Claim: 1,
		Machines: map[string]*storage.ShardMachine{
			"i-01": machine(0, "rack-a", storage.MachineCordoned, false),
			"i-02": machine(1, "rack-a", storage.MachineCordoned, false),
			"i-03": machine(2, "rack-b", storage.MachineOpen, false),
			"i-04": machine(3, "rack-b", storage.MachineUnreachable, true),
			"i-05": machine(4, "rack-b", storage.MachineDraining, true),
			"i-06": machine(5, "rack-b", storage.MachineRemoving, false),
			"i-07": machine(6, "rack-c", storage.MachineOpen, false),
			"i-08": machine(7, "rack-c", storage.MachineOpen, false),
			"i-10": machine(8, "rack-a", storage.MachineOpen, false),
		}, Jobs: map[string]*storage.ShardJob{
			"web": {Attempts: []storage.Attempt{
				{Task: 0, Machine: "i-01", Number: 11}, {Task: 1, Machine: "i-01", Number: 11},
				{Task: 2, Machine: "i-02", Number: 12, Starting: true},
				{Task: 3, Machine: "i-03", Number: 13},
				{Task: 4, Machine: "i-07", Number: 14}, {Task: 5, Machine: "i-07", Number: 15}}},
			"array": {Attempts: []storage.Attempt{{Task: 0, Machine: "i-02", Number: 16},
				{Task: 1, Machine: "i-08", Number: 17}}},
		}}
	orphaned := &storage.Shard{Owner: "n-1", Incarnation: 8, Claim: 1,
		Machines: map[string]*storage.ShardMachine{
			"i-09": machine(0, "rack-a", storage.MachineCordoned, false),
		}, Jobs: map[string]*storage.ShardJob{
			"large": {Attempts: []storage.Attempt{{Task: 0, Machine: "i-09", Number: 18}}},
		}}
	shard := func(name string, s *storage.Shard) protocol.Op {
		raw, _ := s.Encode()
		return protocol.Op{Put: storage.ShardKey(name), Value: raw}
	}
	drainRecord := func(
		state storage.DrainState, reason string, selector storage.Selector, ended int64,
	) *storage.Drain {
		return &storage.Drain{State: state, Reason: reason, Selector: selector, Replace: true,
			MaxParallel: 5, StartedAt: at, EndedAt: ended}
	}
	return []protocol.Op{
		put(storage.KindMember, "n-0", &storage.Member{Incarnation: 7, Zone: "rack-a"}),
		put(storage.KindMachineType, "m8", &storage.MachineType{CPUs: 8, MemoryGB: 64,
			Zones: []string{"rack-a", "rack-b", "rack-c"}}),
		put(storage.KindOpenJob, "web", service("wren", 6, 3)),
		put(storage.KindOpenJob, "large", service("pipit", 2, 8)),
		put(storage.KindOpenJob, "array", array),
		shard("own", own), shard("orphaned", orphaned),
		put(storage.KindPermits, "wren", &storage.Permits{Permits: []storage.Permit{
			{Drain: "emptying", Job: "web", Task: 0, Attempt: 11, From: "i-01", To: "i-03", GrantedAt: at}}}),
		put(storage.KindDrain, "emptying", drainRecord(storage.DrainActive, "",
			storage.Selector{Zone: "rack-a"}, 0)),
		put(storage.KindDrain, "by-name", drainRecord(storage.DrainPaused, "paused by an operator",
			storage.Selector{Machines: []string{"i-04", "i-05", "i-06"}}, 0)),
		put(storage.KindDrain, "nothing-left", drainRecord(storage.DrainDrained, "nothing is left",
			storage.Selector{Zone: "rack-b", Type: "m9", CapacityType: storage.SpotCapacity}, at+5)),
		put(storage.KindDrain, "over", drainRecord(storage.DrainDone, "",
			storage.Selector{Zone: "rack-b"}, at+6)),
	}
}

// commandScript lists the commands in order of execution. Each command sees the changes of the earlier ones.
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

// run runs one command line like main, and returns its output and exit status.
func run(t *testing.T, args []string) (output string, status int) {
	t.Helper()
	var c commandLine
	parser, err := kong.New(&c, kong.Name("pipitgap"))
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		t.Fatal(err)
	}
	output = captureStdout(t, func() error {
		if err := parsed.Run(); err != nil {
			status = exitStatus(err)
		}
		return nil
	})
	return output, status
}

// TestJSONOfCommands checks for each drain command, on fixed records, that the JSON output and the exit
// status match the stored transcript.
func TestJSONOfCommands(t *testing.T) {
	const perSecond, txnOps = 1000, 50
	sim := fake.NewSimClock(1)
	store := fake.NewStateStore(sim, perSecond, perSecond, txnOps)
	outcome := protocol.Outcome(0)
	txn := protocol.Transaction{Then: commandRecords()}
	store.Call(
		"setup",
		&protocol.StoreCall{Op: protocol.StoreCommit, Timeout: monotime.Second, Transaction: txn},
		func(r protocol.StoreResult) { outcome = r.Outcome },
	)
	if sim.Run(monotime.Second); outcome != protocol.OK {
		t.Fatalf("initial records: got outcome %v, want %v", outcome, protocol.OK)
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
