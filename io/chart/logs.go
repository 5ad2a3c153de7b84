package chart

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Series is a named set of durations from relays' logs, which the page draws as one cumulative distribution.
type Series struct {
	// Name is the name of the series in the plot's legend.
	Name string
	// Values are the durations of the series in ascending order.
	Values []time.Duration
}

// quantile returns the duration below which the fraction q of the series' values lies; 0 if there are no values.
func (s *Series) quantile(q float64) time.Duration {
	if len(s.Values) == 0 {
		return 0
	}
	return s.Values[min(len(s.Values)-1, int(q*float64(len(s.Values))))]
}

// durationFields names the event fields in a relay's log that hold durations, and the series that each belongs to.
var durationFields = []struct{ event, field, series string }{
	{"stream-ended", "waited", "wait before the first send"},
	{"request-answered", "waited", "wait before the first send"},
	{"stream-ended", "first", "first event of a stream"},
	{"stream-ended", "longest-pause", "longest pause of a stream"},
	{"stream-goes-on", "pause", "pause of a resume"},
	{"request-answered", "took", "answer to a plain request"},
}

// maxLineBytes bounds the length of a line in a relay's log in bytes; lines with chains of wrapped errors are long.
const maxLineBytes = 1 << 20

// ReadRelayLog reads a relay's log and returns the durations of its events in ascending order; it ignores anything
// before "event=" in a line and lines without it.
func ReadRelayLog(r io.Reader) ([]Series, error) {
	values := map[string][]time.Duration{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		_, line, ok := strings.Cut(lines.Text(), "event=")
		if !ok {
			continue
		}
		event, fields := parseLogLine("event=" + line)
		for _, s := range durationFields {
			if s.event != event {
				continue
			}
			if d, err := time.ParseDuration(fields[s.field]); err == nil {
				values[s.series] = append(values[s.series], d)
			}
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read the log: %w", err)
	}
	var out []Series
	for _, s := range durationFields {
		if v := values[s.series]; len(v) > 0 {
			slices.Sort(v)
			out = append(out, Series{Name: s.series, Values: v})
			delete(values, s.series)
		}
	}
	return out, nil
}

// parseLogLine decodes one logfmt line of a relay's log and returns the event's name and all fields by key.
func parseLogLine(line string) (event string, fields map[string]string) {
	fields = map[string]string{}
	d := logfmt.NewDecoder(strings.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	return fields["event"], fields
}
