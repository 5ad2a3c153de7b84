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

// errNoReportInput is returned by the report command if its arguments name neither a file of benchmark results
// (journal entries) nor a relay's log.
var errNoReportInput = eris.New("no file is given; name entries of a journal, logs of relays or both")

// bindReportCommand registers the settings of the report command, which draws benchmark results as an HTML page.
func bindReportCommand(set *flags.Set, inv *invocation) runFunc {
	var journal, relayLogs flags.List
	outPath := set.String("out", "", "file for the page; standard output if it is empty")
	title := set.String("title", "Played days", "title of the page")
	set.Var(&journal, "journal", "entries of the bench's journal, separated by commas")
	set.Var(&relayLogs, "logs", "logs of relays, separated by commas; what the bench prints of them will do")
	return func(context.Context) error {
		if len(journal) == 0 && len(relayLogs) == 0 {
			return errNoReportInput
		}
		var days []chart.Day
		for _, name := range journal {
			if err := readFile(name, func(r io.Reader) error {
				entries, err := platform.ReadBenchJournal(r)
				days = append(days, entries...)
				return err
			}); err != nil {
				return err
			}
		}
		var logFiles []io.Reader
		for _, name := range relayLogs {
			f, err := os.Open(name)
			if err != nil {
				return fmt.Errorf("open the log: %w", err)
			}
			defer func() { _ = f.Close() }()
			logFiles = append(logFiles, f)
		}
		series, err := chart.ReadRelayLog(io.MultiReader(logFiles...))
		if err != nil {
			return err
		}
		if *outPath == "" {
			return chart.WritePage(inv.stdout, *title, days, series)
		}
		f, err := os.Create(*outPath)
		if err != nil {
			return fmt.Errorf("create the page: %w", err)
		}
		return errors.Join(chart.WritePage(f, *title, days, series), f.Close())
	}
}

// readFile opens the named file, passes it to read and closes it; errors of read are prefixed with the file name.
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
