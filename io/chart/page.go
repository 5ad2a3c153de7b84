package chart

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	// plotWidth is the width of each plot on the page; barRowHeight is the height of one benchmark day's bar and the
	// gap below it.
	plotWidth    = 9.5 * vg.Inch
	barRowHeight = 0.3 * vg.Inch
	// distributionHeight is the height of the plot of request durations.
	distributionHeight = 4 * vg.Inch
	// barAxisHeight is the height of the title, axis and legend of the bar chart that shows each day's losses.
	barAxisHeight = 1.6 * vg.Inch
	// maxColouredCauses is the number of causes of loss that are drawn in a colour of their own. The plot library's
	// palette has as many colours; the other causes are drawn together in grey.
	maxColouredCauses = 7
	// legendShare is the width that the bar chart reserves for its legend, as a fraction of the longest bar.
	legendShare = 0.5
	// lossesPerDay is the number of losses that the page's table lists for each benchmark day.
	lossesPerDay = 3
	// minDrawnDuration is the shortest duration on the logarithmic axis of the plot of durations; shorter ones are
	// drawn at this value.
	minDrawnDuration = 100 * time.Microsecond
)

// pageSource is the text of the HTML template of the report page.
//
//go:embed page.html
var pageSource string

// pageTemplate is the parsed HTML template of the report page.
var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"largest":  func(d Day) []Loss { return d.LargestLosses(lossesPerDay) },
	"quantile": func(s Series, q float64) time.Duration { return s.quantile(q).Round(time.Microsecond) },
}).Parse(pageSource))

// WritePage writes the HTML report with tables and plots of the benchmark days and of the series of request durations;
// either list may be empty.
func WritePage(w io.Writer, title string, days []Day, series []Series) error {
	data := struct {
		Title        string
		Days         []Day
		Series       []Series
		Bars, Curves template.HTML
		LossesPerDay int
	}{Title: title, Days: days, Series: series, LossesPerDay: lossesPerDay}
	var err error
	if len(days) > 0 {
		if data.Bars, err = drawLosses(days); err != nil {
			return err
		}
	}
	if len(series) > 0 {
		if data.Curves, err = drawDurations(series); err != nil {
			return err
		}
	}
	if err := pageTemplate.Execute(w, data); err != nil {
		return fmt.Errorf("write the page: %w", err)
	}
	return nil
}

// drawLosses draws, for each benchmark day, a stacked bar of the worth lost by each cause, and returns the chart as
// SVG.
func drawLosses(days []Day) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "Worth lost, by cause"
	p.X.Label.Text = "worth"
	p.X.Min = 0
	p.Legend.Top = true
	p.Legend.Left = false
	names := make([]string, len(days))
	for i := range days {
		names[i] = fmt.Sprintf("%s %s/%d", days[i].Site, days[i].Name, days[i].Seed)
	}
	coloured, more := largestCauses(days, maxColouredCauses)
	colouredSums := make([]float64, len(days))
	var previous *plotter.BarChart
	addBars := func(name string, value func(i int) float64, c color.Color) error {
		values := make(plotter.Values, len(days))
		for i := range days {
			values[i] = value(i)
		}
		b, err := plotter.NewBarChart(values, barRowHeight/2)
		if err != nil {
			return fmt.Errorf("draw the losses: %w", err)
		}
		b.Horizontal, b.Color, b.LineStyle.Width = true, c, 0
		if previous != nil {
			b.StackOn(previous)
		}
		previous = b
		p.Add(b)
		p.Legend.Add(name, b)
		return nil
	}
	for n, cause := range coloured {
		value := func(i int) float64 {
			v := days[i].lossByCause(cause)
			colouredSums[i] += v
			return v
		}
		if err := addBars(cause, value, plotutil.SoftColors[n%len(plotutil.SoftColors)]); err != nil {
			return "", err
		}
	}
	if more {
		others := func(i int) (sum float64) {
			for _, l := range days[i].Losses {
				sum += l.Worth
			}
			return sum - colouredSums[i]
		}
		if err := addBars("others", others, color.Gray{Y: 160}); err != nil {
			return "", err
		}
	}
	p.NominalY(names...)
	p.X.Max *= 1 + legendShare
	return renderSVG(p, barRowHeight*vg.Length(len(days))+barAxisHeight)
}

// drawDurations draws the cumulative distribution of each series of durations (the fraction of values up to each
// duration) and returns the plot as SVG.
func drawDurations(series []Series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "Durations"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "part at most as long"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = false
	for n, s := range series {
		points := make(plotter.XYs, len(s.Values))
		for i, v := range s.Values {
			points[i] = plotter.XY{X: max(v, minDrawnDuration).Seconds(), Y: float64(i+1) / float64(len(s.Values))}
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("draw %s: %w", s.Name, err)
		}
		l.Color, l.Width = plotutil.Color(n), vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(s.Name, l)
	}
	p.Add(plotter.NewGrid())
	return renderSVG(p, distributionHeight)
}

// renderSVG returns the plot as an SVG element that can be embedded in an HTML page.
func renderSVG(p *plot.Plot, height vg.Length) (template.HTML, error) {
	c := vgsvg.New(plotWidth, height)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", fmt.Errorf("draw the plot: %w", err)
	}
	svg := out.Bytes()
	// The XML declaration before the svg element is not valid inside an HTML page.
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	return template.HTML(svg), nil //nolint:gosec // the library escapes the texts of the plot
}
