package target

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestColdStartDecays(t *testing.T) {
	is := is.New(t)
	at := time.Unix(0, 0)
	w := newWorkTimer(Work{Base: time.Millisecond}, Cold{Factor: 3, Duration: 10 * time.Second, Requests: 4}, 1, at)
	is.Equal(w.next(at), 3*time.Millisecond)
	half := at.Add(5 * time.Second)
	w.startedSince = 2
	is.Equal(w.next(half), 2*time.Millisecond)
	end := at.Add(10 * time.Second)
	is.Equal(w.next(end), 1500*time.Microsecond) // by Duration warm, by Requests a quarter of the cold start left
	is.Equal(w.next(end), time.Millisecond)
	w.makeCold(end)
	is.Equal(w.next(end), 3*time.Millisecond)
	w.makeWarm(end)
	is.Equal(w.next(end), time.Millisecond)
}

func TestServiceTimesDependOnSeed(t *testing.T) {
	is := is.New(t)
	draw := func(seed uint64) (ds []time.Duration) {
		w := newWorkTimer(Work{Base: time.Millisecond, Tail: time.Millisecond}, Cold{}, seed, time.Unix(0, 0))
		for range 8 {
			ds = append(ds, w.next(time.Unix(0, 0)))
		}
		return ds
	}
	is.Equal(draw(1), draw(1))
	is.True(draw(1)[0] != draw(2)[0])
	for _, d := range draw(1) {
		is.True(d >= time.Millisecond)
	}
}
