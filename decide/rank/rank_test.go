package rank_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/rank"
)

func ids(n int) []fleet.VMID {
	var out []fleet.VMID
	for i := range n {
		out = append(out, fleet.VMID(fmt.Sprintf("vm-%d", i)))
	}
	return out
}

func TestOrderDependsOnMembersAndSalt(t *testing.T) {
	is := is.New(t)
	all := ids(20)
	order := rank.Order("a", all)
	slices.Reverse(all)
	is.Equal(rank.Order("a", all), order)
	is.True(!slices.Equal(rank.Order("b", all), order))
	is.True(rank.Score("ab", "c") != rank.Score("a", "bc"))
}

func TestChildrenReachEachMemberOnce(t *testing.T) {
	is := is.New(t)
	for n := 1; n < 30; n++ {
		order := rank.Order("a", ids(n))
		reached := []fleet.VMID{order[0]}
		for _, id := range order {
			children := rank.Children(order, id, 4)
			is.True(len(children) <= 4)
			reached = append(reached, children...)
		}
		is.Equal(reached, order)
		is.Equal(len(rank.Children(order, "other", 4)), 0)
	}
}
