package storage

import (
	"reflect"
	"testing"

	"pipitgap/internal/fixtures"
	"pipitgap/internal/protocol"
)

// storedRecord is a test case: a record, its key, and the file with its stored form.
type storedRecord struct {
	file   string // file under testdata/stored; its name stays when names in the code change
	key    string
	value  any  // a pointer to the record
	sparse bool // the optional fields are zero and therefore omitted
}

// storedRecords returns one record of each kind except shards with every field set. Kinds with optional
// fields have a second record without them. Maps have at most one entry, because their encoding order isn't
// fixed.
func storedRecords() []storedRecord {
	fullSpec := JobSpec{
		Class: "batch", Team: "wren", Service: true, Priority: 7, Tasks: 40, CPUs: 1.5, GPUs: 2,
		MemoryGB: 6.25, Image: "wren/sort:3", ImageGB: 0.75, MachineTypes: []string{"m8", "g2"},
		Zone: "rack-a", OneZone: true, Spread: true, Spot: true,
		EstimateS: 90.5, CheckpointS: 30, SaveS: 2.5, DeadlineS: 900,
	}
	minimalSpec := JobSpec{Class: "batch", Team: "wren", Priority: 7, Tasks: 1, CPUs: 1, MemoryGB: 2,
		Image: "wren/sort:3", ImageGB: 0.5, EstimateS: 60}
	const timestamp = 1_764_687_600_123_456
	return []storedRecord{
		{file: "job-done", key: Key(KindJobResult, "j-000017"), value: &JobResult{State: JobDone}},
		{file: "job-cancelled", key: Key(KindJobResult, "j-000018"), value: &JobResult{State: JobCancelled}},
		{file: "open", key: Key(KindOpenJob, "j-000017"), value: &OpenJob{Spec: fullSpec, AcceptedAt: timestamp,
			TaskRanges: []TaskRange{
				{First: 0, End: 16, Partition: "n-0"},
				{First: 16, End: 40, Partition: "n-1"},
			}}},
		{file: "open-sparse", key: Key(KindOpenJob, "j-000018"), sparse: true,
			value: &OpenJob{Spec: minimalSpec, AcceptedAt: timestamp}},
		{file: "partition", key: Key(KindPartition, "n-0"),
			value: &Partition{QuotaShares: map[string]QuotaShare{"wren": {CPUs: 12.5, GPUs: 3}}}},
		{
			file: "type",
			key:  Key(KindMachineType, "m8"),
			value: &MachineType{CPUs: 8, GPUs: 1, MemoryGB: 64, CacheGB: 120,
				FetchGBPerS: 0.25, OnDemandPrice: 1.75, SpotPrice: 0.5, BootS: 45, Zones: []string{"rack-a", "rack-b"}},
		},
		{
			file: "rental",
			key:  Key(KindScaleOut, "a-1-4"),
			value: &ScaleOutRequest{Phase: ScaleOutProvisioning, MachineType: "m8",
				Zone: "rack-a", Spot: true, Count: 2, Machines: []string{"i-000231", "i-000232"},
				LiveControllers: []string{"n-0", "n-1"}, DesignatedControllers: map[string]string{"i-000231": "n-1"}, PhaseSince: timestamp},
		},
		{file: "rental-pending", key: Key(KindScaleOut, "a-1-5"), sparse: true,
			value: &ScaleOutRequest{
				Phase:       ScaleOutPending,
				MachineType: "m8",
				Zone:        "rack-a",
				Count:       2,
				PhaseSince:  timestamp,
			}},
		{file: "rental-unmet", key: Key(KindScaleOut, "a-1-6"), sparse: true,
			value: &ScaleOutRequest{
				Phase:       ScaleOutNoCapacity,
				MachineType: "m8",
				Zone:        "rack-b",
				Count:       1,
				PhaseSince:  timestamp,
			}},
		{
			file: "removal",
			key:  Key(KindScaleIn, "d-1-2"),
			value: &ScaleInRequest{Machines: []string{"i-000231"},
				StateSince: timestamp, FailedCalls: 3, Failed: true, Deleted: true},
		},
		{file: "removal-sparse", key: Key(KindScaleIn, "d-1-3"), sparse: true,
			value: &ScaleInRequest{Machines: []string{"i-000232"}, StateSince: timestamp}},
		{file: "member", key: Key(KindMember, "n-0"), value: &Member{Incarnation: 1 << 47, Zone: "rack-a"}},
		{file: "lead", key: LeaderKey, value: &Leader{Node: "n-0", Incarnation: 1 << 47}},
		{file: "drain", key: Key(KindDrain, "rack-a-out"), value: &Drain{State: DrainPaused,
			Reason: "its deadline has passed",
			Selector: Selector{
				Machines:     []string{"i-000231"},
				Zone:         "rack-a",
				Type:         "m8",
				CapacityType: SpotCapacity,
			},
			LastMachine: "i-000300", Replace: true, DeleteImmediately: true, MaxParallel: 3, StartedAt: timestamp,
			DeadlineAt: timestamp + 60, EndedAt: timestamp + 120}},
		{file: "drain-active", key: Key(KindDrain, "d-1"), sparse: true,
			value: &Drain{
				State:       DrainActive,
				Selector:    Selector{CapacityType: OnDemandCapacity},
				MaxParallel: 1,
				StartedAt:   timestamp,
			}},
		{file: "drain-drained", key: Key(KindDrain, "d-2"), sparse: true,
			value: &Drain{State: DrainDrained, Selector: Selector{Zone: "rack-b"}, MaxParallel: 1,
				StartedAt: timestamp}},
		{file: "drain-done", key: Key(KindDrain, "d-3"), sparse: true,
			value: &Drain{State: DrainDone, Selector: Selector{Type: "m8"}, MaxParallel: 1, StartedAt: timestamp,
				EndedAt: timestamp + 1}},
		{file: "drain-aborted", key: Key(KindDrain, "d-4"), sparse: true,
			value: &Drain{State: DrainAborted, Selector: Selector{Machines: []string{"i-1"}}, MaxParallel: 1,
				StartedAt: timestamp, EndedAt: timestamp + 1}},
		{file: "permits", key: Key(KindPermits, "wren"), value: &Permits{Permits: []Permit{
			{Drain: "rack-a-out", Job: "j-000017", Task: 5, Attempt: 50012, From: "i-000231", To: "i-000240",
				GrantedAt: timestamp}}}},
		{file: "registry", key: DrainRegistryKey, value: ptr("rack-a-out")}, // the name of the newest drain
	}
}

// ptr returns a pointer to a copy of value.
func ptr[T any](value T) *T { return &value }

// TestStoredRecords checks that records stored by an earlier version decode to the same values and encode to
// the same bytes. TestStoredKeys checks their keys.
func TestStoredRecords(t *testing.T) {
	for _, record := range storedRecords() {
		t.Run(record.file, func(t *testing.T) {
			encoded, err := protocol.Marshal(record.value)
			if err != nil {
				t.Fatal(err)
			}
			stored := fixtures.Bytes(t, "stored/"+record.file+".hex", encoded)
			decoded := reflect.New(reflect.TypeOf(record.value).Elem()).Interface()
			if err := protocol.Unmarshal(stored, decoded); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(decoded, record.value) {
				t.Errorf("%s: decoded %+v, want %+v", record.file, decoded, record.value)
			}
			if !record.sparse {
				fixtures.AllSet(t, record.file, decoded)
			}
			again, err := protocol.Marshal(decoded)
			if err != nil {
				t.Fatal(err)
			}
			fixtures.Equal(t, record.file, stored, again)
		})
	}
}

// TestStoredKeys checks that the keys of all kinds are the same as in earlier versions, and that SplitKey
// returns the kind and the name from which a key was built.
func TestStoredKeys(t *testing.T) {
	kinds := []Kind{
		KindJobResult,
		KindOpenJob,
		KindShard,
		KindPartition,
		KindMachineType,
		KindScaleOut,
		KindScaleIn,
		KindMember,
		KindLeader,
		KindDrain,
		KindPermits,
		KindDrainRegistry,
	}
	text := KeyPrefix + "\n"
	for _, kind := range kinds {
		key := Key(kind, "a/name")
		text += key + "\n"
		if gotKind, name, ok := SplitKey(key); !ok || gotKind != kind || name != "a/name" {
			t.Errorf("SplitKey(%q): got kind %q, name %q, ok %v; want kind %q, name %q, ok true",
				key, gotKind, name, ok, kind, "a/name")
		}
	}
	text += LeaderKey + "\n" + DrainRegistryKey + "\n"
	for _, record := range storedRecords() {
		text += record.file + " " + record.key + "\n"
	}
	fixtures.Equal(t, "keys", []byte(fixtures.Text(t, "stored/keys.txt", text)), []byte(text))
}

// storedShards returns shards that use every feature of the text form: every machine state, machine claims
// greater than the shard's, several machine kinds, endpoints with and without a common prefix, completed
// tasks, and starting attempts.
func storedShards() map[string]*Shard {
	full := &Shard{Owner: "n-2", Incarnation: 1 << 47, Claim: 3, Machines: map[string]*ShardMachine{
		"i-000231": {Number: 0, Type: "m16", Zone: "rack-a", Endpoint: "10.1.0.232:9000", State: MachineOpen},
		"i-000232": {
			Number:   1,
			Type:     "m16",
			Zone:     "rack-b",
			Endpoint: "10.1.0.233:9000",
			State:    MachineUnreachable,
			Spot:     true,
		},
		"i-000240": {
			Number:   2,
			Type:     "m16",
			Zone:     "rack-a",
			Endpoint: "10.1.7.1:9000",
			State:    MachineCordoned,
			Claim:    40,
		},
		"i-000999": {Number: 36, Type: "g2", Zone: "rack-a", Endpoint: "gpu-9.example:80",
			State: MachineDraining, Claim: 7},
		"k-1": {Number: 4, Type: "g2", Zone: "rack-a", Endpoint: "10.1.0.232:9001", State: MachineRemoving},
	}, Jobs: map[string]*ShardJob{
		"j-000017": {Completed: TaskSet{{0, 5}, {7, 8}, {100, 300}}, Attempts: []Attempt{
			{Task: 5, Machine: "i-000231", Number: 50012}, {Task: 6, Machine: "i-000231", Number: 50012},
			{Task: 9, Machine: "i-000999", Number: 1}, {Task: 12, Machine: "i-000231", Number: 50012}}},
		"j-000018": {Attempts: []Attempt{
			{Task: 0, Machine: "k-1", Number: 77, Starting: true}, {Task: 1, Machine: "k-1", Number: 77},
			{Task: 2, Machine: "i-000240", Number: 78, Starting: true}}},
		"j-000019": {Attempts: []Attempt{{Task: 0, Machine: "i-000232", Number: 79}}},
		"zebra":    {Completed: TaskSet{{3, 4}}},
	}}
	empty := &Shard{Owner: "n-0", Incarnation: 1, Claim: 1, Machines: map[string]*ShardMachine{},
		Jobs: map[string]*ShardJob{}}
	completed := &Shard{Owner: "n-1", Incarnation: 2, Claim: 9, Machines: map[string]*ShardMachine{},
		Jobs: map[string]*ShardJob{"j-000001": {Completed: TaskSet{{0, 64}}}}}
	drained := &Shard{Owner: "n-1", Incarnation: 5, Claim: 2, Machines: map[string]*ShardMachine{
		"i-000001": {Number: 0, Type: "m8", Zone: "a", Endpoint: "10.0.0.1:9000", State: MachineCordoned},
		"i-000002": {Number: 1, Type: "m8", Zone: "a", Endpoint: "10.0.0.2:9000", State: MachineCordoned},
		"i-000003": {Number: 2, Type: "m8", Zone: "a", Endpoint: "10.0.0.3:9000", State: MachineDraining},
	}, Jobs: map[string]*ShardJob{"web": {Attempts: []Attempt{
		{Task: 0, Machine: "i-000001", Number: 8, Starting: true},
		{Task: 1, Machine: "i-000002", Number: 8},
		{Task: 2, Machine: "i-000001", Number: 8},
		{Task: 3, Machine: "i-000003", Number: 9, Starting: true}}}}}
	return map[string]*Shard{"shard": full, "shard-empty": empty, "shard-completed": completed,
		"shard-drained": drained}
}

// TestStoredShards checks that shards stored by an earlier version decode to the same values and encode to
// the same bytes.
func TestStoredShards(t *testing.T) {
	for file, shard := range storedShards() {
		t.Run(file, func(t *testing.T) {
			encoded, _ := shard.Encode()
			stored := fixtures.Bytes(t, "stored/"+file+".hex", encoded)
			decoded, err := DecodeShard(stored, nil)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(decoded, shard) {
				t.Errorf("%s: decoded %+v, want %+v", file, decoded, shard)
			}
			if file == "shard" {
				fixtures.AllSet(t, file, decoded)
			}
			for _, job := range decoded.Jobs {
				job.encoded = "" // forces Encode to encode the job again instead of copying the text it decoded
			}
			again, _ := decoded.Encode()
			fixtures.Equal(t, file, stored, again)
		})
	}
}
