package shift

import (
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/change"
)

// Guards against a paused or done shift that stays over its cap. The traffic of a
// client that it has moved grows, and the count exceeds the cap. If the catalogue
// accepted steps of running shifts only, it would refuse the runner's write every
// two seconds.
func TestCountOverCapLowersStoppedShift(t *testing.T) {
	for _, state := range []catalogue.ShiftState{catalogue.Paused, catalogue.Done} {
		is := is.New(t)
		s := catalogue.Shift{ID: "drain", From: "attiki", To: "kriti", State: state, Share: 1000, Revision: 1, Limits: catalogue.Limits{MaxShare: 1000}}
		c := catalogue.Catalogue{Revision: 1, Shifts: []catalogue.Shift{s}}
		next, err := change.Apply(c, operation(Write{ID: 1, Shift: "drain", Expect: 1, Share: 700}), planNow)
		is.NoErr(err)
		is.Equal(next.Shifts[0].State, state)
		is.Equal(next.Shifts[0].Share, catalogue.Share(700))
	}
}
