package flags

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// newRouterSettings returns a Set that reads environment variables from env, with a required name, a bounded number of
// ledgers and a secret peer key. The pointers are to the values of the first two.
func newRouterSettings(env map[string]string) (*Set, *string, *int) {
	s := New("router")
	s.LookupEnv = func(name string) (string, bool) {
		v, ok := env[name]
		return v, ok
	}
	name := s.String("name", "", "name of the instance")
	ledgers := s.Int("ledgers", 1, "number of logs")
	s.String("peer-key", "", "shared key")
	s.MarkSecret("peer-key")
	s.AddRule("name", "a name that is not empty", func() bool { return *name != "" })
	s.AddRule("ledgers", "between 1 and 64", func() bool { return *ledgers >= 1 && *ledgers <= 64 })
	s.AddRule("peer-key", "at least 16 characters", func() bool { return len(s.Lookup("peer-key").Value.String()) >= 16 })
	return s, name, ledgers
}

// Guards against an error that reports only the first of several invalid settings, or that contains a secret.
func TestParseReportsAllErrors(t *testing.T) {
	s, _, _ := newRouterSettings(map[string]string{"WASABIWEIR_LEDGERS": "0", "WASABIWEIR_PEER_KEY": "hidden"})
	err := s.Parse([]string{"-colour", "red", "-name="})
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, want := range []string{"-colour", `-name: value "" (flag)`, `-ledgers: value "0" (environment): allowed is between 1 and 64`, "-peer-key"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in:\n%v", want, err)
		}
	}
	if strings.Contains(err.Error(), "hidden") {
		t.Errorf("the secret is printed:\n%v", err)
	}
}

// Guards against an environment variable that overrides a flag, and against a wrong origin in the printed table.
func TestFlagOverridesEnvironment(t *testing.T) {
	s, name, ledgers := newRouterSettings(map[string]string{"WASABIWEIR_NAME": "env", "WASABIWEIR_LEDGERS": "3", "WASABIWEIR_PEER_KEY": strings.Repeat("k", 16)})
	if err := s.Parse([]string{"-name", "flag"}); err != nil {
		t.Fatal(err)
	}
	if *name != "flag" || *ledgers != 3 {
		t.Fatalf("name %q, ledgers %d", *name, *ledgers)
	}
	var out bytes.Buffer
	if err := s.Print(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"flag", "environment", "WASABIWEIR_PEER_KEY", "(secret)"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
	if err := s.Parse([]string{"-help"}); !errors.Is(err, ErrHelp) {
		t.Errorf("error %v, want ErrHelp", err)
	}
}
