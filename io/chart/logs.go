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

// Series are durations that are drawn as one distribution.
type Series struct {
	Name   string
	Values []time.Duration
}

// quantile returns the value below which the part q of the values lies; the values are sorted.
func (s *Series) quantile(q float64) time.Duration {
	if len(s.Values) == 0 {
		return 0
	}
	return s.Values[min(len(s.Values)-1, int(q*float64(len(s.Values))))]
}

// sources say which field of which event of a relay's log belongs to which series.
var sources = []struct{ event, field, series string }{
	{"stream-ended", "waited", "wait before the first send"},
	{"request-answered", "waited", "wait before the first send"},
	{"stream-ended", "first", "first event of a stream"},
	{"stream-ended", "longest-pause", "longest pause of a stream"},
	{"stream-goes-on", "pause", "pause of a resume"},
	{"request-answered", "took", "answer to a plain request"},
}

// maxLine bounds a line of a log; errors carry their causes.
const maxLine = 1 << 20

// ReadLog reads a relay's log, whose lines may have a prefix, and returns the durations of its events. Lines of another
// form are passed over.
func ReadLog(r io.Reader) ([]Series, error) {
	values := map[string][]time.Duration{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		_, line, ok := strings.Cut(lines.Text(), "event=")
		if !ok {
			continue
		}
		event, fields := parse("event=" + line)
		for _, s := range sources {
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
	for _, s := range sources {
		if v := values[s.series]; len(v) > 0 {
			slices.Sort(v)
			out = append(out, Series{Name: s.series, Values: v})
			delete(values, s.series)
		}
	}
	return out, nil
}

// parse returns the event of a line and its fields.
func parse(line string) (event string, fields map[string]string) {
	fields = map[string]string{}
	d := logfmt.NewDecoder(strings.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	return fields["event"], fields
}
