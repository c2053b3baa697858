package storage

import "testing"

// TestRecordKeys checks the keys of records with names, and that SplitKey returns their kind and name.
func TestRecordKeys(t *testing.T) {
	for _, test := range []struct {
		key, want string
		kind      Kind
		name      string
	}{
		{key: JobResultKey("j-1"), want: "gap2/job/j-1", kind: KindJobResult, name: "j-1"},
		{key: OpenJobKey("j-1"), want: "gap2/open/j-1", kind: KindOpenJob, name: "j-1"},
		{key: ShardKey("n-0-3"), want: "gap2/page/n-0-3", kind: KindShard, name: "n-0-3"},
		{key: PartitionKey("n-0"), want: "gap2/part/n-0", kind: KindPartition, name: "n-0"},
		{key: MachineTypeKey("m8"), want: "gap2/type/m8", kind: KindMachineType, name: "m8"},
		{key: ScaleOutKey("a-1-4"), want: "gap2/ask/a-1-4", kind: KindScaleOut, name: "a-1-4"},
		{key: ScaleInKey("d-1-2"), want: "gap2/removal/d-1-2", kind: KindScaleIn, name: "d-1-2"},
		{key: MemberKey("n-0"), want: "gap2/member/n-0", kind: KindMember, name: "n-0"},
		{key: DrainKey("rack-a"), want: "gap2/drain/rack-a", kind: KindDrain, name: "rack-a"},
		{key: PermitsKey("web"), want: "gap2/permit/web", kind: KindPermits, name: "web"},
	} {
		if test.key != test.want {
			t.Errorf("got key %q, want %q", test.key, test.want)
		}
		if kind, name, ok := SplitKey(test.key); !ok || kind != test.kind || name != test.name {
			t.Errorf("SplitKey(%q): got kind %q, name %q, ok %v; want kind %q, name %q, ok true",
				test.key, kind, name, ok, test.kind, test.name)
		}
	}
	if kind, name, ok := SplitKey("gap1/job/j-1"); ok {
		t.Errorf("SplitKey of a key with another prefix: got kind %q, name %q, ok true; want ok false", kind, name)
	}
}
