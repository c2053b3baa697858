package fake

import (
	"encoding/json"
	"sort"
	"strings"

	"pipitgap/internal/protocol"
)

// Rewrite puts a key's current value again, which gives the key a new version. It does nothing if the key is
// absent.
func (s *StateStore) Rewrite(key string) {
	if item, ok := s.keyValues[key]; ok {
		s.commit(&protocol.Transaction{Then: []protocol.Op{{Put: key, Value: item.Value, Lease: item.Lease}}})
	}
}

// Keys lists the keys with a prefix in ascending order.
func (s *StateStore) Keys(prefix string) []string {
	var out []string
	for k := range s.keyValues {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// Read decodes the value of a key into v. It returns false if the key is absent or the value cannot be
// decoded.
func (s *StateStore) Read(key string, v any) bool {
	item, ok := s.keyValues[key]
	return ok && protocol.Unmarshal(item.Value, v) == nil
}

// JSONSize returns the size of a key's value in bytes as the state service counts it: encoded as JSON. It
// returns 0 if the value cannot be converted.
func (s *StateStore) JSONSize(key string) int {
	var v any
	if protocol.Unmarshal(s.keyValues[key].Value, &v) != nil {
		return 0
	}
	b, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(b)
}

// recordKind returns the kind of record that a key holds: the second segment of the key, or the whole key if
// it has only one.
func recordKind(key string) string {
	f := strings.Split(key, "/")
	if len(f) < 2 {
		return key
	}
	return f[1]
}
