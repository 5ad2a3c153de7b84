package object

import "strings"

// Finding is one validation error in a configuration change: the object and its field, what is wrong with the field and
// what is allowed.
type Finding struct {
	// Object is the invalid configuration object. If its kind is empty, its name is a position in the change file, such as
	// objects[3].
	Object  Ref    `json:"object" cbor:"object"`
	Field   string `json:"field,omitempty" cbor:"field,omitempty"`
	Problem string `json:"problem" cbor:"problem"`
	Allowed string `json:"allowed,omitempty" cbor:"allowed,omitempty"`
}

// String returns the validation error as one line of text.
func (f Finding) String() string {
	var b strings.Builder
	if f.Object.Kind == "" {
		b.WriteString(f.Object.Name)
	} else {
		b.WriteString(f.Object.String())
	}
	if f.Field != "" {
		b.WriteString(": " + f.Field)
	}
	b.WriteString(": " + f.Problem)
	if f.Allowed != "" {
		b.WriteString("; allowed: " + f.Allowed)
	}
	return b.String()
}

// ParseError holds all validation errors that the parser found in a change file.
type ParseError struct {
	File     string
	Findings []Finding
}

// Error returns one line for each finding, with the name of the change file, the object and the field.
func (e *ParseError) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, e.File+": "+f.String())
	}
	return strings.Join(lines, "\n")
}
