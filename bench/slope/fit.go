package slope

// Point is one measurement at one size.
type Point struct{ Size, Value float64 }

// Line is a least-squares fit: Value = Base + Each x Size.
type Line struct{ Base, Each float64 }

// Fit returns the line through the points.
func Fit(points []Point) Line {
	n, sx, sy, sxx, sxy := float64(len(points)), 0.0, 0.0, 0.0, 0.0
	for _, p := range points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return Line{Base: sy / max(n, 1)}
	}
	each := (n*sxy - sx*sy) / d
	return Line{Base: (sy - each*sx) / n, Each: each}
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 {
	return l.Base + l.Each*size
}
