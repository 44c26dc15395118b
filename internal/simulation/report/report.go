// Package report renders the results of simulated or real runs as one self-contained HTML page, without
// scripts or references to other files.
package report

import (
	"bytes"
	"embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"regexp"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"barleywick/internal/simulation/emulator"
	"barleywick/internal/simulation/experiment"
)

//go:embed page.html
var files embed.FS

var page = template.Must(template.New("page.html").Funcs(template.FuncMap{
	"percent": func(f float64) string { return fmt.Sprintf("%.1f %%", 100*f) },
	"signed":  func(f float64) string { return fmt.Sprintf("%+.4f", f) },
	"fixed":   func(f float64) string { return fmt.Sprintf("%.3f", f) },
	"inc":     func(i int) int { return i + 1 },
}).ParseFS(files, "page.html"))

// Page holds the data of the page template.
type Page struct {
	Title       string
	Made        time.Time
	Partial     bool
	Runs        []ScenarioRun
	Differences []experiment.Difference
}

// ScenarioRun is one run with its charts.
type ScenarioRun struct {
	Name   string
	Record *emulator.Record
	Charts []Chart
}

// Chart is one timeline of a run.
type Chart struct {
	Title string
	SVG   template.HTML
}

// maxCharted bounds the number of runs with charts; further runs are only in the tables.
const maxCharted = 40

// PageFromRecord returns the page of one run.
func PageFromRecord(r *emulator.Record, made time.Time) (*Page, error) {
	d, err := chartRun(r.Scenario, r)
	if err != nil {
		return nil, err
	}
	return &Page{Title: r.Scenario, Made: made, Partial: r.Partial, Runs: []ScenarioRun{d}}, nil
}

// PageFromOutcome returns the page of an experiment.
func PageFromOutcome(o *experiment.Outcome, made time.Time) (*Page, error) {
	p := &Page{Title: o.Name, Made: made, Partial: o.Partial, Differences: o.Differences}
	for i, run := range o.Runs {
		d := ScenarioRun{Name: run.Variant, Record: run.Record}
		if i < maxCharted {
			var err error
			if d, err = chartRun(run.Variant, run.Record); err != nil {
				return nil, err
			}
		}
		p.Runs = append(p.Runs, d)
	}
	return p, nil
}

// Write renders the page as HTML.
func (p *Page) Write(w io.Writer) error {
	if err := page.Execute(w, p); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// curve is one curve of a chart, with a value per second of the run.
type curve struct {
	name  string
	value func(w *emulator.Window) float64
}

// chartSpec describes one chart.
type chartSpec struct {
	title, unit string
	curves      []curve
}

// chartRun draws the charts of a run.
func chartRun(name string, r *emulator.Record) (ScenarioRun, error) {
	run := ScenarioRun{Name: name, Record: r}
	windowSeconds := r.Length.Seconds() / float64(max(1, len(r.Windows)))
	for _, spec := range append(fleetCharts(), zoneCharts(r)...) {
		svg, err := chart(r, windowSeconds, spec.unit, spec.curves)
		if err != nil {
			return run, fmt.Errorf("chart %s: %w", spec.title, err)
		}
		run.Charts = append(run.Charts, Chart{spec.title, svg})
	}
	return run, nil
}

// fleetCharts returns the charts of the whole fleet.
func fleetCharts() []chartSpec {
	return []chartSpec{
		{"Weight requested and served", "weight a second", []curve{
			{"requested", func(w *emulator.Window) float64 { return w.WeightShare.Requested }},
			{"served", func(w *emulator.Window) float64 { return w.Served }},
		}},
		{"Refused, failed, late", "requests a second", []curve{
			{"refused", func(w *emulator.Window) float64 { return float64(w.Refused) }},
			{"failed", func(w *emulator.Window) float64 { return float64(w.Failed) }},
			{"late", func(w *emulator.Window) float64 { return float64(w.Late) }},
		}},
		{"Impact of the fleet on itself", "a second", []curve{
			{"retries", func(w *emulator.Window) float64 { return float64(w.Fleet.TotalRetries()) }},
			{"rejected", func(w *emulator.Window) float64 { return float64(w.Fleet.Rejected) }},
			{"probes", func(w *emulator.Window) float64 { return float64(w.Fleet.Probes) }},
			{"handshakes", func(w *emulator.Window) float64 { return float64(w.Fleet.Handshakes) }},
			{"polls of the list that failed", func(w *emulator.Window) float64 { return float64(w.Fleet.ListFailed) }},
		}},
		{"Latency of served requests", "ms", []curve{
			{"median", func(w *emulator.Window) float64 { return w.P50MS }},
			{"99th percentile", func(w *emulator.Window) float64 { return w.P99MS }},
		}},
	}
}

// zoneCharts returns the charts with one curve per zone.
func zoneCharts(r *emulator.Record) []chartSpec {
	var queue, capacity []curve
	for z, zone := range r.Zones {
		queue = append(queue, curve{zone, func(w *emulator.Window) float64 {
			if z < len(w.Queue) {
				return float64(w.Queue[z])
			}
			return math.NaN()
		}})
		capacity = append(capacity, curve{zone, func(w *emulator.Window) float64 {
			if z < len(w.Capacity) {
				return w.Capacity[z]
			}
			return math.NaN()
		}})
	}
	return []chartSpec{
		{"Requests queued at servers, by zone", "requests", queue},
		{"Capacity by zone", "work a second", capacity},
	}
}

// colours of the curves are distinguishable with red-green colour blindness.
var colours = []color.Color{
	color.NRGBA{0x00, 0x72, 0xb2, 255}, color.NRGBA{0xd5, 0x5e, 0x00, 255}, color.NRGBA{0x00, 0x9e, 0x73, 255},
	color.NRGBA{0xcc, 0x79, 0xa7, 255}, color.NRGBA{0x56, 0xb4, 0xe9, 255}, color.NRGBA{0x50, 0x50, 0x50, 255},
}

var shade = color.NRGBA{0xe6, 0x9f, 0x00, 48}

const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 6 * vg.Centimeter
)

// svgProlog matches the start of an SVG file up to the svg element. The XML prolog is not allowed inside an
// HTML page.
var svgProlog = regexp.MustCompile(`(?s)^.*?<svg`)

// chart draws curves over the time of the run, with the duration of each fault shaded.
func chart(r *emulator.Record, windowSeconds float64, unit string, curves []curve) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", unit
	p.X.Min, p.X.Max, p.Y.Min = 0, r.Length.Seconds(), 0
	p.Legend.Top, p.Legend.Left = true, true
	maxY := 1.0
	var plotLines []*plotter.Line
	for i, l := range curves {
		var points plotter.XYs
		for j := range r.Windows {
			if y := l.value(&r.Windows[j]); !math.IsNaN(y) && !math.IsInf(y, 0) {
				points = append(points, plotter.XY{X: float64(j) * windowSeconds, Y: y})
				maxY = max(maxY, y)
			}
		}
		if len(points) == 0 {
			continue
		}
		plotLine, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		plotLine.Color, plotLine.Width = colours[i%len(colours)], vg.Points(1.5)
		plotLines = append(plotLines, plotLine)
		p.Legend.Add(l.name, plotLine)
	}
	p.Y.Max = maxY * 1.3 // space for the legend
	for _, t := range r.Faults {
		from, to := time.Duration(t.Start).Seconds(), (time.Duration(t.Start) + time.Duration(t.Duration)).Seconds()
		to = min(max(to, from+r.Length.Seconds()/200), r.Length.Seconds()) // at least wide enough to be visible
		if from >= to {
			continue
		}
		box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: p.Y.Max}, {X: from, Y: p.Y.Max}})
		if err != nil {
			return "", err
		}
		box.Color, box.LineStyle.Width = shade, 0
		p.Add(box)
	}
	for _, c := range plotLines {
		p.Add(c)
	}
	p.Add(plotter.NewGrid())
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	return template.HTML(svgProlog.ReplaceAll(out.Bytes(), []byte("<svg"))), nil // the SVG was generated above from numbers and escaped names
}
