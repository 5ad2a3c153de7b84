package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"wasabiweir/io/chart"
	"wasabiweir/io/flags"
	"wasabiweir/platform"
)

// errNothing is returned if there is nothing to draw.
var errNothing = eris.New("no file is given; name entries of a journal, logs of relays or both")

func bindReport(set *flags.Set, e *environ) runFunc {
	var journal, relayLogs flags.List
	out := set.String("out", "", "file for the page; standard output if it is empty")
	title := set.String("title", "Played days", "title of the page")
	set.Var(&journal, "journal", "entries of the bench's journal, separated by commas")
	set.Var(&relayLogs, "logs", "logs of relays, separated by commas; what the bench prints of them will do")
	return func(context.Context) error {
		if len(journal) == 0 && len(relayLogs) == 0 {
			return errNothing
		}
		var days []chart.Day
		for _, name := range journal {
			if err := readFile(name, func(r io.Reader) error {
				list, err := platform.ReadJournal(r)
				days = append(days, list...)
				return err
			}); err != nil {
				return err
			}
		}
		var lines []io.Reader
		for _, name := range relayLogs {
			f, err := os.Open(name)
			if err != nil {
				return fmt.Errorf("open the log: %w", err)
			}
			defer func() { _ = f.Close() }()
			lines = append(lines, f)
		}
		series, err := chart.ReadLog(io.MultiReader(lines...))
		if err != nil {
			return err
		}
		if *out == "" {
			return chart.Write(e.stdout, *title, days, series)
		}
		f, err := os.Create(*out)
		if err != nil {
			return fmt.Errorf("create the page: %w", err)
		}
		return errors.Join(chart.Write(f, *title, days, series), f.Close())
	}
}

// readFile passes the contents of a file on.
func readFile(name string, read func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	if err := errors.Join(read(f), f.Close()); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
