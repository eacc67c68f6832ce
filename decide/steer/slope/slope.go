// Package slope defines the measured series from which capacity is computed.
//
// A benchmark that measures a cost at several sizes writes a File; `azurethread
// capacity` fits a line to each series and extrapolates it to the requested
// size. With one format for all series, the capacity page can state the command
// and the machine behind every figure.
package slope

// File is the content of one file of series.
type File struct {
	Series []Series `json:"series"`
}

// Series is one cost measured at several sizes.
type Series struct {
	Name    string  `json:"name"`    // such as "lookup/blocks"; unique over all files
	Title   string  `json:"title"`   // short description of the measured cost
	Unit    string  `json:"unit"`    // of Y
	X       string  `json:"x"`       // the quantity that is varied, such as "blocks"
	Points  []Point `json:"points"`  // ascending by X
	Command string  `json:"command"` // command that measures the series again
	Cores   int     `json:"cores"`   // cores available to the run
	Date    string  `json:"date"`    // of the run, as YYYY-MM-DD
}

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// At returns the measured value at x.
func (s Series) At(x float64) (float64, bool) {
	for _, p := range s.Points {
		if p.X == x {
			return p.Y, true
		}
	}
	return 0, false
}
