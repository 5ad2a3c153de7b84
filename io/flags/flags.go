package flags

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// EnvPrefix is the start of the name of each environment variable that holds a setting.
const EnvPrefix = "WASABIWEIR_"

// Origins of a setting's value, as printed for operators.
const (
	originDefault = "default"
	originEnv     = "environment"
	originFlag    = "flag"
)

// ErrHelp is returned by Set.Parse if the command-line arguments contain -h or -help.
var ErrHelp = flag.ErrHelp

// Set is the settings of one command: a flag set whose flags can also be set by environment variables.
type Set struct {
	*flag.FlagSet
	// LookupEnv returns the value of an environment variable; New sets it to os.LookupEnv.
	LookupEnv func(name string) (string, bool)
	// MaxArgs is the largest number of positional arguments, which follow the flags.
	MaxArgs int

	// origins has the origin (environment or flag) of each setting that does not have its default value, by the
	// setting's name.
	origins map[string]string
	// secrets has the names of the settings whose values are masked when they are printed.
	secrets map[string]bool
	rules   []validityRule
}

// validityRule is a condition on the value of one setting; allowed describes the valid values in the error message.
type validityRule struct {
	setting string
	allowed string
	valid   func() bool
}

// New returns a Set without settings for the named command.
func New(command string) *Set {
	fs := flag.NewFlagSet(command, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	return &Set{FlagSet: fs, LookupEnv: os.LookupEnv, origins: map[string]string{}, secrets: map[string]bool{}}
}

// AddRule adds a condition on the named setting, which Parse tests after all values are set; allowed describes the
// valid values in the error message.
func (s *Set) AddRule(name, allowed string, valid func() bool) {
	s.rules = append(s.rules, validityRule{setting: name, allowed: allowed, valid: valid})
}

// MarkSecret marks the named setting as secret, so that its value is masked in the output and in error messages.
func (s *Set) MarkSecret(name string) { s.secrets[name] = true }

// EnvName returns the name of the environment variable for a setting, such as WASABIWEIR_PEER_KEY for peer-key.
func EnvName(name string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Parse sets the command's settings from the environment variables and then from the arguments, which take precedence,
// validates the settings and returns all errors joined.
func (s *Set) Parse(args []string) error {
	errs := s.parseEnv()
	errs = append(errs, s.parseArgs(args)...)
	for _, err := range errs {
		if errors.Is(err, flag.ErrHelp) {
			return ErrHelp
		}
	}
	for _, rule := range s.rules {
		if !rule.valid() {
			errs = append(errs, eris.Errorf("-%s: value %q (%s): allowed is %s", rule.setting, s.displayValue(rule.setting), s.Origin(rule.setting), rule.allowed))
		}
	}
	return errors.Join(errs...)
}

// parseEnv sets each setting whose environment variable exists and returns an error for each invalid value.
func (s *Set) parseEnv() []error {
	var errs []error
	s.VisitAll(func(f *flag.Flag) {
		v, ok := s.LookupEnv(EnvName(f.Name))
		if !ok {
			return
		}
		if err := f.Value.Set(v); err != nil {
			errs = append(errs, fmt.Errorf("%s: value %q: %w", EnvName(f.Name), s.maskSecret(f.Name, v), err))
			return
		}
		s.origins[f.Name] = originEnv
	})
	return errs
}

// parseArgs parses the command-line arguments. After an invalid argument it continues with the next one, so that all
// invalid arguments are reported together.
func (s *Set) parseArgs(args []string) []error {
	var errs []error
	for {
		err := s.FlagSet.Parse(args)
		if err == nil {
			break
		}
		errs = append(errs, eris.New(err.Error()))
		if errors.Is(err, flag.ErrHelp) || len(s.Args()) >= len(args) {
			return append(errs, err)
		}
		args = s.Args()
		// The argument after an unknown flag may be that flag's value. It is skipped, because parsing would end at it
		// as the first positional argument.
		if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
			args = args[1:]
		}
	}
	s.Visit(func(f *flag.Flag) { s.origins[f.Name] = originFlag })
	if s.NArg() > s.MaxArgs {
		errs = append(errs, eris.Errorf("unexpected argument %q", s.Arg(s.MaxArgs)))
	}
	return errs
}

// Origin returns where the value of a setting came from: "default", "environment" or "flag".
func (s *Set) Origin(name string) string {
	if o, ok := s.origins[name]; ok {
		return o
	}
	return originDefault
}

// maskSecret returns the value v of the named setting, or a placeholder if the setting is secret and v is not empty.
func (s *Set) maskSecret(name, v string) string {
	if s.secrets[name] && v != "" {
		return "(secret)"
	}
	return v
}

// displayValue returns the current value of the setting, masked if it is secret.
func (s *Set) displayValue(name string) string {
	return s.maskSecret(name, s.Lookup(name).Value.String())
}

// Print writes a table of the settings with the value, origin and environment variable of each; secrets are masked.
func (s *Set) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "SETTING\tVALUE\tORIGIN\tENVIRONMENT")
	s.VisitAll(func(f *flag.Flag) {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", f.Name, s.displayValue(f.Name), s.Origin(f.Name), EnvName(f.Name))
	})
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("print settings: %w", err)
	}
	return nil
}

// Usage writes the name, description and default value of each setting.
func (s *Set) Usage(w io.Writer) {
	fmt.Fprintf(w, "Settings of %s (each also as an environment variable, %sNAME):\n", s.Name(), EnvPrefix)
	s.SetOutput(w)
	s.PrintDefaults()
	s.SetOutput(io.Discard)
}
