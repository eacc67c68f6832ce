package ingress

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// A coordinator alone knows where objects are warm, and loses that with its
// process. Its successor would start every object cold at a place of its own
// choice: with four VMs restarted in turn, a region's targets were full of cold
// work for two seconds after each. So every entry VM recalls where its own
// requests were answered, and says so when it asks for a target.

// recall holds where the objects of one service were last handled.
type recall map[string]recalled

type recalled struct {
	target *targetState
	at     clock.Time
}

// recallObjects bounds the objects that are recalled of one service; then all
// are forgotten, as they come back within seconds.
const recallObjects = 8192

// noteServed recalls that t has handled an object.
func (s *service) noteServed(now clock.Time, object string, t *targetState) {
	if object == "" {
		return
	}
	if s.recall == nil || len(s.recall) >= recallObjects {
		s.recall = make(recall)
	}
	s.recall[object] = recalled{target: t, at: now}
}

// recalledAt returns the target where an object is recalled to be warm, "" if
// there is none.
func (r *Reducer) recalledAt(now clock.Time, s *service, object string) fleet.TargetID {
	p, ok := s.recall[object]
	if !ok || now.Sub(p.at) >= warmFor || r.targets[p.target.ID] != p.target {
		return "" // unknown, too old, or the target has ended
	}
	return p.target.ID
}

// believeRecalled takes another entry VM's word for where the object of j is
// warm, if nothing is known here.
func (r *Reducer) believeRecalled(now clock.Time, j *job) {
	if j.Recalled == "" || j.Object == "" || !r.on(Recall) || j.obj.warmSomewhere(now) {
		return
	}
	if t, ok := r.targets[j.Recalled]; ok && t.svc == j.svc {
		j.obj.remember(now, t)
	}
}
