// Package slope defines the measured series that capacity is worked out from.
//
// A benchmark that measures a cost at several sizes writes a File; `azurethread
// capacity` fits a line to each series and extends it to the size asked for.
// One shape for all of them lets the page say of every figure by which command
// and on which machine it was measured.
package slope

// File is the content of one file of series.
type File struct {
	Series []Series `json:"series"`
}

// Series is one cost measured at several sizes.
type Series struct {
	Name    string  `json:"name"`    // such as "lookup/blocks"; unique over all files
	Title   string  `json:"title"`   // what is measured, in a few words
	Unit    string  `json:"unit"`    // of Y
	X       string  `json:"x"`       // what is varied, such as "blocks"
	Points  []Point `json:"points"`  // ascending by X
	Command string  `json:"command"` // that measures the series anew
	Cores   int     `json:"cores"`   // cores the run could use
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
