package fake

import (
	"encoding/json"
	"sort"
	"strings"

	"pipitgap/internal/protocol"
)

// Rewrite gives a key a new version with the value that it has.
func (s *StateStore) Rewrite(key string) {
	if item, ok := s.keyValues[key]; ok {
		s.commit(&protocol.Transaction{Then: []protocol.Op{{Put: key, Value: item.Value, Lease: item.Lease}}})
	}
}

// Keys lists the keys with a prefix, in order.
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

// Read decodes the value of a key.
func (s *StateStore) Read(key string, v any) bool {
	item, ok := s.keyValues[key]
	return ok && protocol.Unmarshal(item.Value, v) == nil
}

// JSONSize is a key's value as the state service counts it: in its JSON form.
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

// recordKind is the second part of a key.
func recordKind(key string) string {
	f := strings.Split(key, "/")
	if len(f) < 2 {
		return key
	}
	return f[1]
}
