package cmds

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"
)

// runMain calls Main and returns the exit code and the output.
func runMain(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Main(args, &out, &errs)
	return code, out.String(), errs.String()
}

// Guards against an invalid command line that starts a process or whose error message does not name the fault.
func TestCommandLine(t *testing.T) {
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{nil, exitOK, "standin engine"},
		{[]string{"help"}, exitOK, "settings COMMAND"},
		{[]string{"rooter"}, exitUsage, `unknown command "rooter"`},
		{[]string{"standin", "engines"}, exitUsage, `unknown command "standin"`},
		{[]string{"settings"}, exitUsage, "settings needs the name of a command"},
		{[]string{"control", "-help"}, exitOK, "-peer-key"},
		{[]string{"bench", "-scenario", "calm"}, exitUsage, "-scenario"},
		{[]string{"router", "extra"}, exitUsage, `unexpected argument "extra"`},
		{[]string{"apply"}, exitUsage, "apply needs one file"},
		{[]string{"load", "-rate", "0"}, exitUsage, "-rate"},
	} {
		code, stdout, stderr := runMain(c.args...)
		if code != c.code || !strings.Contains(stdout+stderr, c.want) {
			t.Errorf("%v: code %d, want %d with %q\n%s%s", c.args, code, c.code, c.want, stdout, stderr)
		}
	}
}

// Guards against a README that names a command which does not exist.
func TestReadmeCommandsExist(t *testing.T) {
	page, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range regexp.MustCompile(`go run \. ([a-z]+)`).FindAllStringSubmatch(string(page), -1) {
		if _, _, err := findCommand([]string{m[1]}); err != nil {
			t.Error(err)
		}
	}
}
