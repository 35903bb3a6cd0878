package report

import (
	"bytes"
	_ "embed" // for the page's template
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a drawing.
const (
	drawingWidth  = 22 * vg.Centimeter
	drawingHeight = 8 * vg.Centimeter
	lineWidth     = 1.5
)

// colors of the endings, and of predicted and taken times.
var colors = []color.Color{
	color.RGBA{R: 0x2c, G: 0x8a, B: 0x3d, A: 0xff}, color.RGBA{R: 0xe0, G: 0x9a, B: 0x1c, A: 0xff},
	color.RGBA{R: 0x2b, G: 0x6c, B: 0xb0, A: 0xff}, color.RGBA{R: 0xc0, G: 0x30, B: 0x30, A: 0xff},
}

//go:embed page.tmpl
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// drawing is one picture of the page.
type drawing struct {
	Title string
	SVG   template.HTML // made by vgsvg, from numbers and names that it escapes
}

// WriteHTML writes the report as one page that needs nothing else.
func (r *Report) WriteHTML(w io.Writer) error {
	over, err := r.drawSpans()
	if err != nil {
		return err
	}
	drawings := []drawing{over}
	for _, s := range r.Services() {
		if len(s.levels) == 0 {
			continue
		}
		levels, err := s.drawLevels()
		if err != nil {
			return err
		}
		drawings = append(drawings, levels)
	}
	bad, named := r.Bad()
	return page.Execute(w, struct {
		Lines, Bad int
		Named      []string
		Drawings   []drawing
	}{r.Lines(), bad, named, drawings})
}

func (r *Report) drawSpans() (drawing, error) {
	list, width := r.Spans()
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", "requests a second"
	for e := range endings {
		points := make(plotter.XYs, len(list))
		for i, span := range list {
			points[i].X = span.Began().Sub(list[0].Began()).Seconds()
			points[i].Y = float64(span.Ended(e)) / width.Seconds()
		}
		if err := addLine(p, e.String(), points, colors[e]); err != nil {
			return drawing{}, err
		}
	}
	return render(fmt.Sprintf("How requests ended, by spans of %s", width), p)
}

func (s *Service) drawLevels() (drawing, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "requests at the target when it was chosen", "median, ms"
	var predicted, took plotter.XYs
	for _, l := range s.Levels() {
		x := float64(l.Running())
		predicted = append(predicted, plotter.XY{X: x, Y: float64(l.Predicted().Milliseconds())})
		took = append(took, plotter.XY{X: x, Y: float64(l.Took().Milliseconds())})
	}
	if err := addLine(p, "predicted", predicted, colors[Refused]); err != nil {
		return drawing{}, err
	}
	if err := addLine(p, "taken", took, colors[Failed]); err != nil {
		return drawing{}, err
	}
	return render("Service "+s.name+": time taken by how full the target was", p)
}

func addLine(p *plot.Plot, name string, points plotter.XYs, c color.Color) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = c, vg.Points(lineWidth)
	p.Add(line)
	p.Legend.Add(name, line)
	p.Legend.Top = true
	return nil
}

func render(title string, p *plot.Plot) (drawing, error) {
	canvas := vgsvg.New(drawingWidth, drawingHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return drawing{}, err
	}
	// An SVG inside a page has no XML head.
	if at := bytes.Index(svg.Bytes(), []byte("<svg")); at > 0 {
		svg.Next(at)
	}
	return drawing{Title: title, SVG: template.HTML(svg.String())}, nil
}
