package object

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"reflect"

	"wasabiweir/core/codec"
)

// Digest is the SHA-256 sum of the canonical encoding of a configuration graph.
type Digest [sha256.Size]byte

// String returns the digest of the configuration graph in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText returns the digest of the configuration graph in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a digest in hexadecimal, or returns an error if its length or digits are wrong.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != 2*len(d) {
		return fmt.Errorf("read digest: %w", hex.ErrLength)
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("read digest: %w", err)
	}
	return nil
}

// ObjectWithRef is a configuration object of any kind together with its reference.
type ObjectWithRef struct {
	Ref Ref
	// Object is the configuration object: a Service, Account, Model, Adapter, Intent or Endpoint.
	Object any
}

// The values of Difference.Change: an object was added to the configuration, removed from it or changed in it.
const (
	DiffAdded   = "added"
	DiffRemoved = "removed"
	DiffChanged = "changed"
)

// Difference names a configuration object that differs between two graphs and the fields that differ.
type Difference struct {
	Ref Ref `json:"object" cbor:"object"`
	// Change is DiffAdded, DiffRemoved or DiffChanged.
	Change string `json:"change" cbor:"change"`
	// Fields holds the JSON names of the fields that differ; it is empty unless the object is in both graphs.
	Fields []string `json:"fields,omitempty" cbor:"fields,omitempty"`
}

// Clone returns a copy of the graph with its own maps; the slices within objects are shared and must not be modified.
func (g *Graph) Clone() *Graph {
	out := &Graph{}
	for _, k := range Kinds {
		accessByKind[k].copyObjects(out, g)
	}
	return out
}

// Len returns the number of configuration objects of all kinds in the graph.
func (g *Graph) Len() int {
	return len(g.Services) + len(g.Accounts) + len(g.Models) + len(g.Adapters) + len(g.Intents) + len(g.Endpoints)
}

// Has reports whether the graph holds the configuration object with the reference.
func (g *Graph) Has(r Ref) bool {
	access, ok := accessByKind[r.Kind]
	return ok && access.hasObject(g, r.Name)
}

// Get returns the configuration object with the reference as a struct value, or false if the graph does not hold it.
func (g *Graph) Get(r Ref) (any, bool) {
	access, ok := accessByKind[r.Kind]
	if !ok {
		return nil, false
	}
	return access.getObject(g, r.Name)
}

// Apply returns a copy of the graph with the change's objects stored and deleted, and findings if the change is
// inconsistent, such as when it deletes an object that does not exist. It does not validate the resulting graph.
func (g *Graph) Apply(c *Change) (*Graph, []Finding) {
	out := g.Clone()
	var findings []Finding
	for _, k := range Kinds {
		for _, name := range accessByKind[k].misnamedKeys(&c.Put) {
			findings = append(findings, Finding{Object: Ref{k, name}, Field: "name", Problem: "is stored under another name", Allowed: "the name of the object"})
		}
	}
	seen := make(map[Ref]bool, len(c.Delete))
	var deletes []Ref
	for _, r := range c.Delete {
		if finding := checkDelete(g, c, r, seen[r]); finding != nil {
			findings = append(findings, *finding)
			continue
		}
		seen[r] = true
		deletes = append(deletes, r)
	}
	out.Patch(&c.Put, deletes)
	return out, findings
}

// Patch modifies the graph: it stores the configuration objects of put and then deletes those to which remove refers.
func (g *Graph) Patch(put *Graph, remove []Ref) {
	for _, k := range Kinds {
		accessByKind[k].copyObjects(g, put)
	}
	for _, r := range remove {
		if access, ok := accessByKind[r.Kind]; ok {
			access.removeObject(g, r.Name)
		}
	}
}

// Subset returns a graph of the referenced configuration objects that g holds, and the references to those that it does
// not hold.
func (g *Graph) Subset(refs []Ref) (Graph, []Ref) {
	var subset Graph
	var missing []Ref
	for _, r := range refs {
		if !g.Has(r) {
			missing = append(missing, r)
			continue
		}
		accessByKind[r.Kind].copyObject(&subset, g, r.Name)
	}
	return subset, missing
}

// checkDelete validates that a change may delete the object r, and returns a finding if not; duplicate says that the
// change has listed r for deletion already.
func checkDelete(g *Graph, c *Change, r Ref, duplicate bool) *Finding {
	switch {
	case c.Put.Has(r):
		return &Finding{Object: r, Field: fieldDelete, Problem: "is put and deleted in one change", Allowed: "one of the two"}
	case duplicate:
		return &Finding{Object: r, Field: fieldDelete, Problem: "is deleted twice", Allowed: "each object once"}
	case !g.Has(r):
		return &Finding{Object: r, Field: fieldDelete, Problem: "does not exist", Allowed: "an object of the base revision"}
	}
	return nil
}

// Objects returns all configuration objects of the graph in canonical order: by kind in the order of Kinds, then by
// name.
func (g *Graph) Objects() []ObjectWithRef {
	out := make([]ObjectWithRef, 0, g.Len())
	for _, k := range Kinds {
		for _, name := range accessByKind[k].objectNames(g) {
			v, _ := accessByKind[k].getObject(g, name)
			out = append(out, ObjectWithRef{Ref: Ref{k, name}, Object: v})
		}
	}
	return out
}

// Digest returns the SHA-256 sum of the canonical encoding of all configuration objects in the graph.
func (g *Graph) Digest() Digest {
	h := sha256.New()
	for _, item := range g.Objects() {
		data, err := codec.Encode([]any{item.Ref.Kind, item.Object})
		if err != nil {
			// The encoder fails only on types that CBOR cannot represent, and no configuration object has such a field.
			panic(fmt.Errorf("encode %s: %w", item.Ref, err))
		}
		h.Write(data)
	}
	var d Digest
	h.Sum(d[:0])
	return d
}

// Diff returns the configuration objects that differ between two graphs in canonical order, with the fields that
// differ.
func Diff(from, to *Graph) []Difference {
	var out []Difference
	for _, k := range Kinds {
		union := &Graph{}
		accessByKind[k].copyObjects(union, from)
		accessByKind[k].copyObjects(union, to)
		for _, name := range accessByKind[k].objectNames(union) {
			if d, ok := diffObject(from, to, Ref{k, name}); ok {
				out = append(out, d)
			}
		}
	}
	return out
}

// diffObject compares one configuration object in two graphs; it returns false if the object is the same in both.
func diffObject(from, to *Graph, r Ref) (Difference, bool) {
	a, inFrom := accessByKind[r.Kind].getObject(from, r.Name)
	b, inTo := accessByKind[r.Kind].getObject(to, r.Name)
	switch {
	case !inFrom:
		return Difference{Ref: r, Change: DiffAdded}, true
	case !inTo:
		return Difference{Ref: r, Change: DiffRemoved}, true
	}
	fields := diffFields(a, b)
	return Difference{Ref: r, Change: DiffChanged, Fields: fields}, len(fields) > 0
}

// diffFields returns the JSON names of the fields that differ between two configuration objects of the same kind. A nil
// and an empty slice count as equal.
func diffFields(a, b any) []string {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	var out []string
	for i := range va.NumField() {
		fa, fb := va.Field(i), vb.Field(i)
		if fa.Kind() == reflect.Slice && fa.Len() == 0 && fb.Len() == 0 {
			continue
		}
		if !reflect.DeepEqual(fa.Interface(), fb.Interface()) {
			out = append(out, jsonFieldName(va.Type().Field(i)))
		}
	}
	return out
}

// Refs returns the references of the configuration objects that the change stores, in canonical order, and then of
// those that it deletes.
func (c *Change) Refs() []Ref {
	out := make([]Ref, 0, c.Put.Len()+len(c.Delete))
	for _, item := range c.Put.Objects() {
		out = append(out, item.Ref)
	}
	return append(out, c.Delete...)
}
