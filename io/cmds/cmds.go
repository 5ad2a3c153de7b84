package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"

	"wasabiweir/io/flags"
	"wasabiweir/io/store"
)

// Exit codes of the wasabiweir binary.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// command is one subcommand of the wasabiweir binary. args describes its positional arguments in the usage text; bind
// registers its settings and returns the function that runs it.
type command struct {
	name    string
	args    string
	summary string
	bind    func(set *flags.Set, inv *invocation) runFunc
}

// runFunc runs a subcommand whose settings have been parsed, until the subcommand is done or ctx ends.
type runFunc func(ctx context.Context) error

// invocation holds the output streams and the settings of one invocation of a subcommand.
type invocation struct {
	stdout io.Writer
	stderr io.Writer
	// keeperDisk is the field of Program.
	keeperDisk store.Disk
	// set holds the settings of the subcommand; it is nil until bindAndParse creates it.
	set *flags.Set
}

// usageError is an error in the command line or in a setting; the process then exits with exitUsage.
type usageError struct{ err error }

// Error returns the text of the wrapped error in the command line or in a setting.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *usageError) Unwrap() error { return e.err }

// Program is the wasabiweir binary; its fields are set before Run.
type Program struct {
	Stdout io.Writer
	Stderr io.Writer
	// KeeperDisk is the file system of a keeper's data folder; nil means that of the operating system, limited as the
	// settings say.
	KeeperDisk store.Disk
}

// Main runs the subcommand that the command-line arguments name and returns the exit code of the process.
func Main(args []string, stdout, stderr io.Writer) int {
	return (&Program{Stdout: stdout, Stderr: stderr}).Run(args)
}

// Run runs the subcommand that the command-line arguments name and returns the exit code of the process.
func (p *Program) Run(args []string) int {
	err := dispatchCommand(context.Background(), args, &invocation{stdout: p.Stdout, stderr: p.Stderr, keeperDisk: p.KeeperDisk})
	if err == nil {
		return exitOK
	}
	var usage *usageError
	if errors.As(err, &usage) {
		fmt.Fprintf(p.Stderr, "wasabiweir: %v\n", err)
		return exitUsage
	}
	fmt.Fprintf(p.Stderr, "wasabiweir: %v\n", err)
	return exitError
}

// dispatchCommand runs the subcommand that the command-line arguments name, or prints the usage text or the settings
// if the arguments ask for them.
func dispatchCommand(ctx context.Context, args []string, inv *invocation) error {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		printUsage(inv.stdout)
		return nil
	}
	if args[0] == "settings" {
		return printSettings(args[1:], inv)
	}
	c, rest, err := findCommand(args)
	if err != nil {
		return err
	}
	run, err := bindAndParse(c, rest, inv)
	if errors.Is(err, flags.ErrHelp) {
		fmt.Fprintf(inv.stdout, "wasabiweir %s %s\n%s.\n\n", c.name, c.args, c.summary)
		inv.set.Usage(inv.stdout)
		return nil
	}
	if err != nil {
		return err
	}
	return run(ctx)
}

// findCommand returns the subcommand whose name, of one or two words, is at the start of the command-line arguments,
// and the remaining arguments.
func findCommand(args []string) (command, []string, error) {
	for _, c := range commands() {
		if c.name == args[0] {
			return c, args[1:], nil
		}
		if len(args) > 1 && c.name == args[0]+" "+args[1] {
			return c, args[2:], nil
		}
	}
	return command{}, nil, &usageError{fmt.Errorf("unknown command %q; wasabiweir help lists the commands", args[0])}
}

// bindAndParse registers the settings of the subcommand c, parses the arguments and the environment variables, and
// returns the function that runs c.
func bindAndParse(c command, args []string, inv *invocation) (runFunc, error) {
	inv.set = flags.New(c.name)
	run := c.bind(inv.set, inv)
	if err := inv.set.Parse(args); err != nil {
		if errors.Is(err, flags.ErrHelp) {
			return nil, flags.ErrHelp
		}
		return nil, &usageError{fmt.Errorf("settings of %s:\n%w", c.name, err)}
	}
	return run, nil
}

// printSettings prints the settings in force for the subcommand that the arguments name, with the origin of each
// value.
func printSettings(args []string, inv *invocation) error {
	if len(args) == 0 {
		return &usageError{errors.New("settings needs the name of a command, such as: wasabiweir settings router")}
	}
	c, rest, err := findCommand(args)
	if err != nil {
		return err
	}
	if _, err := bindAndParse(c, rest, inv); err != nil {
		return err
	}
	return inv.set.Print(inv.stdout)
}

// printUsage writes the list of subcommands with their arguments and summaries.
func printUsage(w io.Writer) {
	fmt.Fprintln(w, "wasabiweir serves long generations on engines that fail.")
	fmt.Fprintln(w, "\nCommands (wasabiweir COMMAND -help lists the settings of one):")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-18s %s\n", c.name, c.summary)
	}
	fmt.Fprintf(w, "  %-18s %s\n", "settings COMMAND", "Print the settings in force for a command and where each came from")
}
