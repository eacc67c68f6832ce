package ingress

import (
	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/fleet"
)

// Only the coordinator knows where objects are warm, and that knowledge is lost
// with its process. Its successor would start every object cold at another target:
// when four VMs were restarted in turn, a region's targets were full of cold work
// for two seconds after each restart. Therefore every entry VM remembers where its
// own requests were answered, and includes it in its placement requests.

// lastTargets maps the objects of one service to the targets that last handled
// them.
type lastTargets map[string]lastTarget

type lastTarget struct {
	target *targetState
	at     clock.Time
}

// maxLastTargets limits the objects remembered per service; above it all are
// dropped, because they are learned again within seconds.
const maxLastTargets = 8192

// recordLastTarget records that t has handled an object.
func (s *service) recordLastTarget(now clock.Time, object string, t *targetState) {
	if object == "" {
		return
	}
	if s.lastTargets == nil || len(s.lastTargets) >= maxLastTargets {
		s.lastTargets = make(lastTargets)
	}
	s.lastTargets[object] = lastTarget{target: t, at: now}
}

// lastTargetFor returns the target at which an object is assumed to be warm, "" if
// there is none.
func (r *Reducer) lastTargetFor(now clock.Time, s *service, object string) fleet.TargetID {
	last, ok := s.lastTargets[object]
	if !ok || now.Sub(last.at) >= warmTTL || r.targets[last.target.ID] != last.target {
		return "" // unknown, too old, or the target has restarted or left
	}
	return last.target.ID
}

// useLastTarget marks the object of j as warm at the target named by another entry
// VM, if no warm target is known here.
func (r *Reducer) useLastTarget(now clock.Time, j *job) {
	if j.LastTarget == "" || j.Object == "" || !r.on(LastTargets) || j.obj.isWarmAnywhere(now) {
		return
	}
	if t, ok := r.targets[j.LastTarget]; ok && t.svc == j.svc {
		j.obj.markWarm(now, t)
	}
}
