package storage

import (
	"errors"
	"testing"

	"pipitgap/internal/protocol"
)

// TestDecodeMalformedShard checks that DecodeShard returns ErrMalformedShard for entries that Encode never
// writes, instead of a shard without these entries.
func TestDecodeMalformedShard(t *testing.T) {
	kinds := []machineKind{{Type: "m16", Zone: "rack-a"}}
	const machines = "0 0i-1 010.1.0.1:9000 0 o"
	cases := []struct {
		name      string
		machines  string
		jobs      string
		malformed bool
	}{
		{"empty", "", "", false},
		{"machine", machines, "", false},
		{"machine with a claim", machines + " 1z", "", false},
		{"machine without a state", "0 0i-1 010.1.0.1:9000 0", "", true},
		{"machine without an id", "0 0 010.1.0.1:9000 0 o", "", true},
		{"machine with a bad number", "- 0i-1 010.1.0.1:9000 0 o", "", true},
		{"machine with an unknown kind", "0 0i-1 010.1.0.1:9000 1 o", "", true},
		{"machine with a negative kind", "0 0i-1 010.1.0.1:9000 -1 o", "", true},
		{"machine with a bad claim", machines + " -1", "", true},
		{"prefix longer than the previous id", machines + ";1 4x 00 0 o", "", true},
		{"prefix longer than the previous address", "0 0i-1 1 0 o", "", true},
		{"two machines with the same number", machines + ";0 32 00 0 o", "", true},
		{"two machines with the same id", machines + ";1 3 00 0 o", "", true},
		{"attempts", machines, "0j-1 0@1:0-3,7 0!2:5", false},
		{"attempt of the first task", machines, "0j-1 0@1", false},
		{"completed tasks", machines, "0j-1 d0-3,7", false},
		{"attempts without a separator", machines, "0j-1 0", true},
		{"attempt without a number", machines, "0j-1 0@", true},
		{"attempt on an unknown machine", machines, "0j-1 1@1", true},
		{"attempts in descending order", machines, "0j-1 0@1:3,1", true},
		{"task number too large", machines, "0j-1 0@1:999999999", true},
		{"completed tasks in descending order", machines, "0j-1 d5-2", true},
		{"job without an id", machines, " d1", true},
		{"two jobs with the same id", machines, "0j-1 d1;3 d2", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			record := shardRecord{MachineKinds: kinds, Machines: tc.machines, Jobs: tc.jobs}
			_, err := DecodeShard(protocol.MustMarshal(&record), nil)
			if got := errors.Is(err, ErrMalformedShard); got != tc.malformed || !got && err != nil {
				t.Errorf("%s: got error %v, want ErrMalformedShard: %v", tc.name, err, tc.malformed)
			}
		})
	}
	if _, err := DecodeShard(protocol.MustMarshal("no record"), nil); !errors.Is(err, ErrMalformedShard) {
		t.Errorf("record of another type: got error %v, want %v", err, ErrMalformedShard)
	}
}

// TestDecodeSharesEntries checks that DecodeShard reuses the unchanged entries of a previous shard, but not
// a job's entry whose machine number now identifies another machine.
func TestDecodeSharesEntries(t *testing.T) {
	shard := &Shard{Owner: "n-1", Claim: 1, Machines: map[string]*ShardMachine{}, Jobs: map[string]*ShardJob{}}
	shard.AddMachine("i-1", ShardMachine{Type: "m16", Zone: "rack-a", State: MachineOpen})
	shard.AddMachine("i-2", ShardMachine{Type: "m16", Zone: "rack-a", State: MachineOpen})
	shard.Assign("j-1", Attempt{Task: 0, Machine: "i-1", Number: 1})
	shard.Assign("j-2", Attempt{Task: 0, Machine: "i-1", Number: 2})
	decode := func(written, previous *Shard) *Shard {
		t.Helper()
		raw, _ := written.Encode()
		decoded, err := DecodeShard(raw, previous)
		if err != nil {
			t.Fatal(err)
		}
		return decoded
	}
	previous := decode(shard, nil)

	changed := previous.Clone()
	changed.SetMachineState("i-2", MachineDraining)
	changed.Release("j-2", 0, true)
	decoded := decode(changed, previous)
	if decoded.Machines["i-1"] != previous.Machines["i-1"] || decoded.Jobs["j-1"] != previous.Jobs["j-1"] {
		t.Error("got new entries for an unchanged machine or job, want the entries of the previous shard")
	}
	if decoded.Machines["i-2"] == previous.Machines["i-2"] || decoded.Jobs["j-2"] == previous.Jobs["j-2"] {
		t.Error("got the previous shard's entry for a changed machine or job, want a new entry")
	}

	renumbered := previous.Clone()
	renumbered.Jobs = map[string]*ShardJob{}
	delete(renumbered.Machines, "i-1")
	renumbered.AddMachine("i-3", ShardMachine{Type: "m16", Zone: "rack-a", State: MachineOpen})
	renumbered.Assign("j-1", Attempt{Task: 0, Machine: "i-3", Number: 1})
	decoded = decode(renumbered, previous)
	if attempt, _ := decoded.FindAttempt("j-1", 0); attempt.Machine != "i-3" {
		t.Errorf("after machine number 0 was reused: got the attempt on machine %q, want %q", attempt.Machine, "i-3")
	}
}
