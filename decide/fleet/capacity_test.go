package fleet

import (
	"testing"

	"github.com/matryer/is"
)

func TestStrong(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Strong(nil)), 0)
	unstated := []VM{{ID: "a"}, {ID: "b"}}
	is.Equal(Strong(unstated), unstated)
	mixed := []VM{{ID: "a", Cores: 0.16}, {ID: "b", Cores: 0.8}, {ID: "c"}, {ID: "d", Cores: 0.5}}
	is.Equal(Strong(mixed), []VM{mixed[1], mixed[3]})
}
