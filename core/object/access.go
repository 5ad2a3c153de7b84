package object

import (
	"maps"
	"reflect"
	"slices"
)

// kindAccess gives access to the configuration objects of one kind in a Graph, for code that handles all kinds alike.
type kindAccess interface {
	// objectNames returns the names of the kind's objects in alphabetical order.
	objectNames(g *Graph) []string
	getObject(g *Graph, name string) (any, bool)
	hasObject(g *Graph, name string) bool
	// copyObjects copies the kind's objects from src to dst and replaces those of the same names.
	copyObjects(dst, src *Graph)
	// copyObject copies the object with the name from src to dst.
	copyObject(dst, src *Graph, name string)
	removeObject(g *Graph, name string)
	// newObject returns a pointer to a zero object of the kind, such as a *Model.
	newObject() any
	// storeObject adds an object, given as the pointer that newObject returned, to the graph under its name.
	storeObject(g *Graph, object any)
	// misnamedKeys returns the keys of the graph's map that differ from the name of the object stored under them.
	misnamedKeys(g *Graph) []string
}

// mapAccess implements kindAccess for the configuration objects of type V, such as Model, which a Graph holds in one
// map.
type mapAccess[V any] struct {
	// objects returns the graph's map that holds the objects of type V.
	objects func(*Graph) *map[string]V
	// nameOf returns the name of an object of type V.
	nameOf func(V) string
}

func (m mapAccess[V]) objectNames(g *Graph) []string { return slices.Sorted(maps.Keys(*m.objects(g))) }

func (m mapAccess[V]) getObject(g *Graph, name string) (any, bool) {
	v, ok := (*m.objects(g))[name]
	return v, ok
}

func (m mapAccess[V]) hasObject(g *Graph, name string) bool {
	_, ok := (*m.objects(g))[name]
	return ok
}

func (m mapAccess[V]) copyObjects(dst, src *Graph) {
	to, from := m.objects(dst), *m.objects(src)
	if *to == nil {
		*to = make(map[string]V, len(from))
	}
	maps.Copy(*to, from)
}

func (m mapAccess[V]) copyObject(dst, src *Graph, name string) {
	objects := m.objects(dst)
	if *objects == nil {
		*objects = make(map[string]V)
	}
	(*objects)[name] = (*m.objects(src))[name]
}

func (m mapAccess[V]) removeObject(g *Graph, name string) { delete(*m.objects(g), name) }

func (m mapAccess[V]) newObject() any { return new(V) }

func (m mapAccess[V]) storeObject(g *Graph, object any) {
	v, ok := object.(*V)
	if !ok {
		return
	}
	objects := m.objects(g)
	if *objects == nil {
		*objects = make(map[string]V)
	}
	(*objects)[m.nameOf(*v)] = *v
}

func (m mapAccess[V]) misnamedKeys(g *Graph) []string {
	var out []string
	for _, name := range m.objectNames(g) {
		if m.nameOf((*m.objects(g))[name]) != name {
			out = append(out, name)
		}
	}
	return out
}

// accessByKind holds, for each kind of configuration object in Kinds, the access to its objects in a Graph.
var accessByKind = map[Kind]kindAccess{
	KindService: mapAccess[Service]{
		objects: func(g *Graph) *map[string]Service { return &g.Services },
		nameOf:  func(v Service) string { return v.Name },
	},
	KindAccount: mapAccess[Account]{
		objects: func(g *Graph) *map[string]Account { return &g.Accounts },
		nameOf:  func(v Account) string { return v.Name },
	},
	KindModel: mapAccess[Model]{
		objects: func(g *Graph) *map[string]Model { return &g.Models },
		nameOf:  func(v Model) string { return v.Name },
	},
	KindAdapter: mapAccess[Adapter]{
		objects: func(g *Graph) *map[string]Adapter { return &g.Adapters },
		nameOf:  func(v Adapter) string { return v.Name },
	},
	KindIntent: mapAccess[Intent]{
		objects: func(g *Graph) *map[string]Intent { return &g.Intents },
		nameOf:  func(v Intent) string { return v.Name },
	},
	KindEndpoint: mapAccess[Endpoint]{
		objects: func(g *Graph) *map[string]Endpoint { return &g.Endpoints },
		nameOf:  func(v Endpoint) string { return v.Name },
	},
}

// jsonFieldNames returns the JSON names of the fields of a configuration object's struct type, in the order of their
// declaration.
func jsonFieldNames(t reflect.Type) []string {
	out := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		out = append(out, jsonFieldName(t.Field(i)))
	}
	return out
}
