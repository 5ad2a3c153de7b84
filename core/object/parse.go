package object

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// MaxFileBytes is the maximum size of a change file; a file of 2,000 configuration objects, the target size, has about
// 600 KB.
const MaxFileBytes = 8 << 20

// Keys of the JSON format of change files.
const (
	fieldObjects      = "objects"
	fieldDelete       = "delete"
	fieldBaseRevision = "base-revision"
	fieldRequestID    = "request-id"
	fieldKind         = "kind"
	fieldName         = "name"
)

// ParseChange parses a change file, which lists configuration objects to store and delete; file is its name for error
// messages. On a malformed file it returns a *ParseError with all findings. The keys base-revision and request-id are
// optional.
func ParseChange(file string, data []byte) (*Change, error) {
	p := &changeParser{change: &Change{}, seen: make(map[Ref]bool)}
	p.parseDocument(data)
	if len(p.findings) > 0 {
		return nil, &ParseError{File: file, Findings: p.findings}
	}
	return p.change, nil
}

// changeParser builds a Change from the JSON document of a change file and collects the validation errors in it.
type changeParser struct {
	change *Change
	// seen holds the references of the objects that the change file has named so far, to detect duplicates.
	seen     map[Ref]bool
	findings []Finding
}

// addFinding records what is wrong with a field of the configuration object, or of the position in the change file,
// that location names.
func (p *changeParser) addFinding(location Ref, field, problem, allowed string) {
	p.findings = append(p.findings, Finding{Object: location, Field: field, Problem: problem, Allowed: allowed})
}

// parseDocument parses the whole change file.
func (p *changeParser) parseDocument(data []byte) {
	location := Ref{Name: "document"}
	if len(data) > MaxFileBytes {
		p.addFinding(location, "", fmt.Sprintf("has %d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxFileBytes))
		return
	}
	if !utf8.Valid(data) {
		p.addFinding(location, "", "is not UTF-8 text", "one JSON document in UTF-8")
		return
	}
	fields, err := parseMembers(data)
	if err != nil {
		p.addFinding(location, "", err.Error(), "one JSON object with objects and delete")
		return
	}
	for _, f := range fields {
		p.parseTopLevelField(location, f)
	}
}

// parseTopLevelField parses one field of the change file's outermost JSON object, such as the list of objects.
func (p *changeParser) parseTopLevelField(location Ref, f jsonMember) {
	switch f.key {
	case fieldObjects:
		for i, raw := range p.decodeList(location, f) {
			p.parseObject(Ref{Name: fmt.Sprintf("objects[%d]", i)}, raw)
		}
	case fieldDelete:
		for i, raw := range p.decodeList(location, f) {
			p.parseDeletion(Ref{Name: fmt.Sprintf("delete[%d]", i)}, raw)
		}
	case fieldBaseRevision:
		p.decodeField(location, f, reflect.ValueOf(&p.change.BaseRevision).Elem())
	case fieldRequestID:
		p.decodeField(location, f, reflect.ValueOf(&p.change.RequestID).Elem())
	default:
		p.addFinding(location, f.key, "is an unknown field", "objects, delete, base-revision or request-id")
	}
}

// decodeList returns the elements of a field in the change file that must be a JSON array.
func (p *changeParser) decodeList(location Ref, f jsonMember) []json.RawMessage {
	var out []json.RawMessage
	if err := json.Unmarshal(f.value, &out); err != nil || isNull(f.value) {
		p.addFinding(location, f.key, "has the wrong type", "a list of objects")
	}
	return out
}

// parseRef parses the kind and the name of a configuration object from its JSON object and returns them with the other
// fields. It returns false if the kind or the name is invalid or the change file has named the object before.
func (p *changeParser) parseRef(location Ref, raw json.RawMessage) (Ref, []jsonMember, bool) {
	fields, err := parseMembers(raw)
	if err != nil {
		p.addFinding(location, "", err.Error(), "a JSON object with kind and name")
		return location, nil, false
	}
	var kind, name string
	findingsBefore := len(p.findings)
	rest := slices.DeleteFunc(slices.Clone(fields), func(f jsonMember) bool {
		switch f.key {
		case fieldKind:
			p.decodeField(location, f, reflect.ValueOf(&kind).Elem())
		case fieldName:
			p.decodeField(location, f, reflect.ValueOf(&name).Elem())
		default:
			return false
		}
		return true
	})
	if len(p.findings) > findingsBefore {
		return location, nil, false
	}
	r := Ref{Kind: Kind(kind), Name: name}
	if _, ok := accessByKind[r.Kind]; !ok {
		p.addFinding(location, fieldKind, fmt.Sprintf("%q is an unknown kind", kind), allowedKinds())
		return location, nil, false
	}
	if name == "" {
		p.addFinding(location, fieldName, "is missing", allowedName)
		return location, nil, false
	}
	if p.seen[r] {
		p.addFinding(r, "", "appears twice in the file", "each object once")
		return r, nil, false
	}
	p.seen[r] = true
	return r, rest, true
}

// parseObject parses one configuration object to store and adds it to the change.
func (p *changeParser) parseObject(location Ref, raw json.RawMessage) {
	r, fields, ok := p.parseRef(location, raw)
	if !ok {
		return
	}
	ptr := accessByKind[r.Kind].newObject()
	v := reflect.ValueOf(ptr).Elem()
	byName := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		byName[jsonFieldName(v.Type().Field(i))] = v.Field(i)
	}
	byName[fieldName].SetString(r.Name)
	for _, f := range fields {
		target, known := byName[f.key]
		if !known {
			p.addFinding(r, f.key, "is an unknown field", strings.Join(jsonFieldNames(v.Type()), ", "))
			continue
		}
		p.decodeField(r, f, target)
	}
	accessByKind[r.Kind].storeObject(&p.change.Put, ptr)
}

// parseDeletion parses one reference to a configuration object to delete and adds it to the change.
func (p *changeParser) parseDeletion(location Ref, raw json.RawMessage) {
	r, fields, ok := p.parseRef(location, raw)
	if !ok {
		return
	}
	for _, f := range fields {
		p.addFinding(r, f.key, "is an unknown field", "kind and name")
	}
	p.change.Delete = append(p.change.Delete, r)
}

// decodeField decodes the JSON value of a field into target. It rejects null, which encoding/json would silently decode
// as the zero value.
func (p *changeParser) decodeField(location Ref, f jsonMember, target reflect.Value) {
	err := decodeValue(f.value, target)
	if err == nil {
		return
	}
	p.addFinding(location, f.key, "has the wrong type or is out of range", describeType(target.Type()))
}

// decodeValue decodes the JSON value of an object's field into target and returns an error for a null, also within an
// array.
func decodeValue(raw json.RawMessage, target reflect.Value) error {
	if isNull(raw) {
		return eris.New("null is not a value")
	}
	if target.Kind() != reflect.Slice {
		if err := json.Unmarshal(raw, target.Addr().Interface()); err != nil {
			return fmt.Errorf("decode value: %w", err)
		}
		return nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		return fmt.Errorf("decode list: %w", err)
	}
	out := reflect.MakeSlice(target.Type(), len(items), len(items))
	for i, item := range items {
		if err := decodeValue(item, out.Index(i)); err != nil {
			return err
		}
	}
	target.Set(out)
	return nil
}

// describeType returns the description of a field's Go type for the Allowed text of a finding.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list of strings"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number of at least 0"
	default:
		return "a whole number"
	}
}

func isNull(raw json.RawMessage) bool { return bytes.Equal(bytes.TrimSpace(raw), []byte("null")) }

// allowedKinds lists all kinds of configuration objects for the Allowed text of a finding.
func allowedKinds() string {
	names := make([]string, 0, len(Kinds))
	for _, k := range Kinds {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}

// jsonFieldName returns the name in the json tag of a struct field.
func jsonFieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// jsonMember is a key of a JSON object with its undecoded value.
type jsonMember struct {
	key   string
	value json.RawMessage
}

// parseMembers parses a JSON object into its members. It returns an error for duplicate keys, which encoding/json
// accepts.
func parseMembers(data []byte) ([]jsonMember, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	first, err := dec.Token()
	if err != nil {
		return nil, fmt.Errorf("is not valid JSON: %w", err)
	}
	if first != json.Delim('{') {
		return nil, eris.New("is not a JSON object")
	}
	var out []jsonMember
	seen := make(map[string]bool)
	for dec.More() {
		m, err := parseMember(dec)
		if err != nil {
			return nil, err
		}
		if seen[m.key] {
			return nil, eris.Errorf("has the key %q twice", m.key)
		}
		seen[m.key] = true
		out = append(out, m)
	}
	if _, err := dec.Token(); err != nil {
		return nil, fmt.Errorf("is not valid JSON: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, eris.New("has data after its end")
	}
	return out, nil
}

// parseMember parses the next key and value of a JSON object.
func parseMember(dec *json.Decoder) (jsonMember, error) {
	token, err := dec.Token()
	if err != nil {
		return jsonMember{}, fmt.Errorf("is not valid JSON: %w", err)
	}
	key, ok := token.(string)
	if !ok {
		return jsonMember{}, eris.New("has a key that is not a string")
	}
	m := jsonMember{key: key}
	if err := dec.Decode(&m.value); err != nil {
		return jsonMember{}, fmt.Errorf("is not valid JSON: %w", err)
	}
	return m, nil
}

// MarshalObjects returns the graph's configuration objects as a change file, with one object to a line in canonical
// order, or the JSON encoder's error.
func MarshalObjects(g *Graph) ([]byte, error) {
	var b bytes.Buffer
	b.WriteString("{\"objects\":[")
	for i, item := range g.Objects() {
		if i > 0 {
			b.WriteByte(',')
		}
		body, err := json.Marshal(item.Object)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", item.Ref, err)
		}
		fmt.Fprintf(&b, "\n{\"kind\":%q,%s", string(item.Ref.Kind), body[1:])
	}
	b.WriteString("\n]}\n")
	return b.Bytes(), nil
}
