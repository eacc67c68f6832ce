package explain

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const timesLogs = `vm-a {"event":"request","request":"r1","vm":"vm-a","host":"h1","status":200,"verdict":"ran","took_ms":112,"sends":[{"target":"t1","domain":"d1","after_ms":2,"waited_ms":4,"took_ms":110,"outcome":"served","verdict":"ran"}],"time":"2026-01-01T00:00:01Z"}
vm-b {"event":"request","request":"r2","vm":"vm-b","host":"h1","status":200,"verdict":"ran","took_ms":400,"sends":[{"target":"t1","domain":"d1","after_ms":10,"took_ms":20,"outcome":"refused","verdict":"not-run"},{"target":"t2","domain":"d9","gateway":"g","after_ms":40,"waited_ms":110,"gateway_waited_ms":5,"took_ms":355,"outcome":"served","verdict":"ran"}],"time":"2026-01-01T00:00:02Z"}
vm-b {"event":"request","request":"r3","vm":"vm-b","host":"h2","status":503,"verdict":"not-run","reason":"overload","took_ms":150,"sends":null,"time":"2026-01-01T00:00:02Z"}
`

// Guards against parts that do not add up to the time that the caller waited, and
// against refused requests among the answered ones.
func TestTimesAddUp(t *testing.T) {
	is := is.New(t)
	times, err := ReadTimes(BySide, strings.NewReader(timesLogs))
	is.NoErr(err)
	is.Equal(len(times.Rows), 2)
	far := times.Rows[0]
	is.Equal(far.Group, "other region")
	is.Equal([]float64{far.Search, far.Earlier, far.Connection, far.Gateway, far.Target, far.Rest}, []float64{10, 30, 110, 5, 240, 5})
	is.Equal(far.Resent, 1)
	is.Equal(times.All.Requests, 2)
	for _, g := range append(times.Rows, times.All) {
		is.Equal(g.Search+g.Earlier+g.Connection+g.Gateway+g.Target+g.Rest, g.Mean)
	}
	var b bytes.Buffer
	PrintTimes(&b, times)
	is.True(strings.Contains(b.String(), "own region"))
}

func TestTimesByEachGrouping(t *testing.T) {
	is := is.New(t)
	for by, want := range map[Grouping]string{ByDomain: "d1", ByVM: "vm-a", BySecond: "00:00:01", ByHost: "h1"} {
		times, err := ReadTimes(by, strings.NewReader(timesLogs))
		is.NoErr(err)
		is.Equal(times.Rows[0].Group, want)
	}
	_, err := ReadTimes("colour", strings.NewReader(timesLogs))
	is.True(errors.Is(err, ErrGrouping))
	_, err = ReadTimes(BySide, strings.NewReader(""))
	is.True(errors.Is(err, ErrNoTimes))
}
