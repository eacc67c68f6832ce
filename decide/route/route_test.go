package route

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
)

func config(routes ...Route) *Config {
	c := &Config{Routes: routes, Services: map[fleet.ServiceName]Service{"a": {}, "b": {}}}
	return c
}

func TestMatch(t *testing.T) {
	part := []Part{{Service: "a", Weight: 1}}
	table := NewTable(config(
		Route{Name: "root", Host: "one", Prefix: "/", Parts: part, Attempts: 1},
		Route{Name: "deep", Host: "one", Prefix: "/x/y/", Parts: part, Attempts: 1},
		Route{Name: "mid", Host: "one", Prefix: "/x/", Parts: part, Attempts: 1},
		Route{Name: "two", Host: "two", Prefix: "/x/", Parts: part, Attempts: 1},
	))
	for _, c := range []struct{ host, path, want string }{
		{"one", "/", "root"},
		{"one", "/x", "root"}, // the prefix ends with a slash
		{"one", "/x/", "mid"},
		{"one", "/x/y/z", "deep"},
		{"one", "/x/?q=/x/y/", "mid"},
		{"ONE:8080", "/x/y/", "deep"},
		{"two", "/x/y/", "two"},
		{"two", "/", ""},
		{"three", "/x/", ""},
	} {
		is := is.New(t)
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		is.Equal(got, c.want) // host and path
	}
}

// Guards against an invalid configuration coming into force unchecked, so that
// requests go to a service that does not exist. Only the invalid route is
// refused: the others were served under the previous configuration.
func TestDisableInvalidRoutes(t *testing.T) {
	ok := Route{Prefix: "/", Parts: []Part{{Service: "a", Weight: 1}}, Attempts: 1}
	for _, c := range []struct {
		change func(r *Route)
		want   error
	}{
		{func(*Route) {}, nil},
		{func(r *Route) { r.Parts = nil }, ErrNoParts},
		{func(r *Route) { r.Parts = []Part{{Service: "a"}} }, ErrNoParts},
		{func(r *Route) { r.Parts = []Part{{Service: "c", Weight: 1}} }, ErrUnknownService},
		{func(r *Route) { r.Parts = []Part{{Service: "a", Weight: -1}} }, ErrNegativeValue},
		{func(r *Route) { r.Prefix = "/x" }, ErrInvalidPrefix},
		{func(r *Route) { r.Timeout = -1 }, ErrNegativeValue},
		{func(r *Route) { r.Attempts = 0 }, ErrNoAttempts},
	} {
		is := is.New(t)
		r := ok
		c.change(&r)
		cfg := config(r, ok)
		defects := cfg.DisableInvalidRoutes()
		is.True(errors.Is(errors.Join(defects...), c.want))
		is.Equal(cfg.Routes[0].Disabled, c.want != nil)
		is.True(!cfg.Routes[1].Disabled) // the valid route
	}
}

// Guards against a service with a small weight getting far more or less than
// its share of some hundred requests, as it does with random choice.
func TestSplitFollowsWeights(t *testing.T) {
	is := is.New(t)
	parts := []Part{{"a", 90}, {"b", 10}, {"c", 0}}
	var s Split
	got := map[fleet.ServiceName]int{}
	for n := 1; n <= 1000; n++ {
		got[s.Next(parts)]++
		is.True(got["b"] >= n/10-1 && got["b"] <= n/10+1) // after any number of requests
	}
	is.Equal(got["c"], 0)
}
