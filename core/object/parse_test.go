package object

import (
	"errors"
	"strings"
	"testing"
)

// sample is a valid change file with an object of each kind.
const sample = `{"base-revision":4,"request-id":"r1","objects":[
{"kind":"service","name":"dente-llm","type":"model","timeout-ms":600000,"wait-ms":3000},
{"kind":"service","name":"rondas-app","type":"plain","idempotent-methods":["GET"]},
{"kind":"account","name":"vets","token-hashes":["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"],"tokens-per-second":900.5,"weight":2},
{"kind":"model","name":"dente-7b","service":"dente-llm","version":"v1","bytes":14000000000},
{"kind":"adapter","name":"float-plan","model":"dente-7b","version":"v3","bytes":2000000},
{"kind":"intent","name":"plans","service":"dente-llm","model":"dente-7b","adapters":["float-plan"],"accounts":["vets"],"priority":-1,"min-engines":2},
{"kind":"endpoint","name":"e1","service":"dente-llm","address":"10.0.0.1:8000","domain":"petrolina","slots":8,"checks-fencing":true},
{"kind":"endpoint","name":"p1","service":"rondas-app","address":"[fd00::1]:80","domain":"juazeiro","leaving":true}
],"delete":[{"kind":"endpoint","name":"e0"}]}`

// invalidFiles maps a malformed change file to texts that the error must contain.
var invalidFiles = map[string][]string{
	``:                          {"f.json", "document", "JSON"},
	`[]`:                        {"document", "not a JSON object"},
	`{"objects":[]} x`:          {"document", "after its end"},
	`{"objects":null}`:          {"objects", "wrong type"},
	`{"things":[]}`:             {"things", "unknown field"},
	`{"delete":[],"delete":[]}`: {`"delete" twice`},
	`{"base-revision":-1}`:      {"base-revision", "at least 0"},
	`{"objects":[3]}`:           {"objects[0]", "not a JSON object"},
	`{"objects":[{"kind":"router","name":"a"}]}`:                                                 {"objects[0]", "kind", `"router"`, "endpoint"},
	`{"objects":[{"kind":"model"}]}`:                                                             {"objects[0]", "name", "missing"},
	`{"objects":[{"kind":"model","name":"a","Version":"1"}]}`:                                    {"model/a", "Version", "unknown field"},
	`{"objects":[{"kind":"model","name":"a","bytes":1.5}]}`:                                      {"model/a", "bytes", "whole number"},
	`{"objects":[{"kind":"model","name":"a","bytes":9223372036854775808}]}`:                      {"model/a", "bytes", "out of range"},
	`{"objects":[{"kind":"model","name":"a","version":null}]}`:                                   {"model/a", "version", "a string"},
	`{"objects":[{"kind":"intent","name":"a","adapters":["x",null]}]}`:                           {"intent/a", "adapters", "list of strings"},
	`{"objects":[{"kind":"model","name":"a"},{"kind":"model","name":"a"}]}`:                      {"model/a", "appears twice"},
	`{"objects":[{"kind":"model","name":"a"}],"delete":[{"kind":"model","name":"a"}]}`:           {"model/a", "appears twice"},
	`{"objects":[{"kind":"model","name":"a","name":"b"}]}`:                                       {"objects[0]", `"name" twice`},
	`{"delete":[{"kind":"model","name":"a","force":true}]}`:                                      {"model/a", "force", "kind and name"},
	`{"objects":[{"kind":"endpoint","name":"a","leaving":1},{"kind":"model","name":"b","c":1}]}`: {"endpoint/a", "leaving", "true or false", "model/b"},
	"{\"objects\":[{\"kind\":\"model\",\"name\":\"\xff\"}]}":                                     {"UTF-8"},
}

// Guards against a malformed file that is accepted, and against an error that does not name the file, object and field.
func TestParseNamesFileObjectAndField(t *testing.T) {
	for text, wants := range invalidFiles {
		_, err := ParseChange("f.json", []byte(text))
		var p *ParseError
		if !errors.As(err, &p) {
			t.Errorf("%s: error %v, want a ParseError", text, err)
			continue
		}
		for _, want := range append(wants, "f.json") {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%s: error %q does not name %q", text, err, want)
			}
		}
	}
}

// Guards against fields that are lost when a graph is parsed or marshalled, and against a digest that changes when a
// graph is marshalled and parsed again.
func TestSampleSurvivesPrintAndParse(t *testing.T) {
	c, err := ParseChange("sample", []byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	if c.BaseRevision != 4 || c.RequestID != "r1" || len(c.Delete) != 1 || c.Put.Len() != 8 {
		t.Fatalf("parsed %+v", c)
	}
	if findings := c.Put.Validate(); len(findings) != 0 {
		t.Fatalf("findings %v in a valid graph", findings)
	}
	checkRoundTrip(t, c)
}

// checkRoundTrip marshals the objects of a change, parses them again and compares the results.
func checkRoundTrip(t *testing.T, c *Change) {
	t.Helper()
	text, err := MarshalObjects(&c.Put)
	if err != nil {
		t.Fatal(err)
	}
	again, err := ParseChange("printed", text)
	if err != nil {
		t.Fatalf("printed objects do not parse: %v\n%s", err, text)
	}
	if again.Put.Digest() != c.Put.Digest() || len(Diff(&c.Put, &again.Put)) > 0 {
		t.Fatalf("printed objects differ: %v", Diff(&c.Put, &again.Put))
	}
}

// Guards against panics on operator input, and against accepted files whose objects differ after they are marshalled
// and parsed again.
func FuzzParseChange(f *testing.F) {
	f.Add([]byte(sample))
	for text := range invalidFiles {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := ParseChange("fuzz", data)
		if err != nil {
			return
		}
		c.Put.Validate()
		checkRoundTrip(t, c)
	})
}
