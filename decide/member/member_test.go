package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/member/membertest"
)

func TestFleetSettles(t *testing.T) {
	for _, c := range []struct{ regions, domains, members int }{
		{1, 1, 1}, {1, 1, 2}, {3, 2, 1}, {3, 2, 2}, {2, 2, 8}, {1, 1, 43}, {4, 3, 6},
	} {
		is := is.New(t)
		n := membertest.New(1)
		start(n, membertest.Fleet(c.regions, c.domains, c.members))
		t.Log(c, len(offers(n.Nodes[0])), disagreements(n, offers(n.Nodes[0])))
		_ = is
		_ = time.Second
	}
}
