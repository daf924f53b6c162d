package label

import (
	"sort"
	"strings"
)

// Set is a set of labels. The zero value is empty.
type Set struct {
	// pairs is sorted by key. Invariant: keys are unique, and pairs is never
	// modified.
	pairs []pair
}

type pair struct {
	key   string
	value string
}

// Of returns the set of the labels in kv, which alternates keys and values. A
// trailing key without a value gets the empty value.
func Of(kv ...string) Set {
	m := make(map[string]string, len(kv)/2)
	for i := 0; i < len(kv); i += 2 {
		value := ""
		if i+1 < len(kv) {
			value = kv[i+1]
		}
		m[kv[i]] = value
	}
	return FromMap(m)
}

// FromMap returns the set with the labels of m.
func FromMap(m map[string]string) Set {
	if len(m) == 0 {
		return Set{}
	}
	pairs := make([]pair, 0, len(m))
	for k, v := range m {
		pairs = append(pairs, pair{
			key:   k,
			value: v,
		})
	}
	sort.Slice(pairs, func(i, j int) bool { return pairs[i].key < pairs[j].key })
	return Set{
		pairs: pairs,
	}
}

// Get returns the value of key and whether the set contains it.
func (s Set) Get(key string) (string, bool) {
	i := sort.Search(len(s.pairs), func(i int) bool { return s.pairs[i].key >= key })
	if i < len(s.pairs) && s.pairs[i].key == key {
		return s.pairs[i].value, true
	}
	return "", false
}

// With returns a copy of s in which key is set to value.
func (s Set) With(key, value string) Set {
	m := s.Map()
	m[key] = value
	return FromMap(m)
}

// Map returns the labels as a new map.
func (s Set) Map() map[string]string {
	m := make(map[string]string, len(s.pairs))
	for _, p := range s.pairs {
		m[p.key] = p.value
	}
	return m
}

// Len returns the number of labels.
func (s Set) Len() int { return len(s.pairs) }

// String returns the labels as comma-separated key=value pairs, sorted by key.
func (s Set) String() string {
	parts := make([]string, 0, len(s.pairs))
	for _, p := range s.pairs {
		parts = append(parts, p.key+"="+p.value)
	}
	return strings.Join(parts, ",")
}
