package table

import (
	"cmp"
	"slices"
)

// Table is a map of values that iterates in key order, so that code that visits its values behaves the same on each
// replica. The zero value is empty and ready to use. It is not safe for concurrent use.
type Table[K cmp.Ordered, V any] struct {
	rows       map[K]*V
	sortedKeys []K
	keysStale  bool // sortedKeys must be rebuilt
}

// Get returns a pointer to the table's value with the key, or nil if there is none.
func (t *Table[K, V]) Get(key K) *V { return t.rows[key] }

// Put stores a copy of the value in the table under the key and returns a pointer to the copy.
func (t *Table[K, V]) Put(key K, v V) *V {
	if t.rows == nil {
		t.rows = make(map[K]*V)
	}
	if _, ok := t.rows[key]; !ok {
		t.keysStale = true
	}
	t.rows[key] = &v
	return &v
}

// Ensure returns a pointer to the table's value with the key; if there is none, it first stores a zero value.
func (t *Table[K, V]) Ensure(key K) *V {
	if v := t.rows[key]; v != nil {
		return v
	}
	var zero V
	return t.Put(key, zero)
}

// Delete removes the value with the key from the table, if there is one.
func (t *Table[K, V]) Delete(key K) {
	if _, ok := t.rows[key]; !ok {
		return
	}
	delete(t.rows, key)
	t.keysStale = true
}

// Len returns the number of values in the table.
func (t *Table[K, V]) Len() int { return len(t.rows) }

// Keys returns the sorted keys of the table; the caller must not change the slice.
func (t *Table[K, V]) Keys() []K {
	if !t.keysStale {
		return t.sortedKeys
	}
	keys := make([]K, 0, len(t.rows))
	for k := range t.rows {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	t.sortedKeys = keys
	t.keysStale = false
	return keys
}

// Each calls f for each key and value in key order until f returns false; f may delete values.
func (t *Table[K, V]) Each(f func(K, *V) bool) {
	for _, k := range t.Keys() {
		v := t.rows[k]
		if v == nil {
			continue
		}
		if !f(k, v) {
			return
		}
	}
}
