package ingress_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/ingress"
)

// BenchmarkPace measures one request without an object at the coordinator, which compares
// all targets of its region, if no target states a pace and if all of them do.
func BenchmarkPace(b *testing.B) {
	for _, stated := range []bool{false, true} {
		b.Run(fmt.Sprintf("stated=%v", stated), func(b *testing.B) {
			m := newFleetMember(fleetSizes[1], "self")
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				m.now = m.now.Add(100 * time.Microsecond)
				id := m.requestPlacement("", 0)
				if stated {
					m.step(&ingress.IncomingMessage{From: "vm0", Message: &ingress.TargetPace{
						Target: fleet.TargetID(fmt.Sprint("t", i%m.size.targets)), Percent: 100 + i%2*150}})
				}
				m.report(id)
			}
		})
	}
}
