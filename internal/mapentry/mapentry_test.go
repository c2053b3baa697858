package mapentry

import "testing"

func TestGetOrNew(t *testing.T) {
	present := 7
	entries := map[string]*int{"present": &present, "nil": nil}
	if got := GetOrNew(entries, "present"); got != &present {
		t.Errorf("present: got pointer %p, want the existing pointer %p", got, &present)
	}
	for _, key := range []string{"missing", "nil"} {
		added := GetOrNew(entries, key)
		if added == nil || *added != 0 {
			t.Fatalf("%s: got %v, want a pointer to zero", key, added)
		}
		*added = 3
		if again := GetOrNew(entries, key); again != added || *again != 3 {
			t.Errorf(
				"%s: the second invocation got %p (value %d), want the added entry %p (value 3)",
				key, again, *again, added,
			)
		}
	}
	if len(entries) != 3 {
		t.Errorf("got %d entries, want 3", len(entries))
	}
}
