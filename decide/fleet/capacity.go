package fleet

// minStrongShare is the part of the strongest VM's processor share from which
// a VM counts as strong. Deployments mix sizes that differ several times over,
// so any part in between selects the same VMs.
const minStrongShare = 0.5

// Strong returns the VMs with much more capacity than the others: those with
// at least half of the largest processor share among vms, in the given order.
// It returns all of them if none states its share.
//
// Work that one VM does for many others, such as placing the requests of a
// service, belongs on these VMs. All VMs with the same list select the same
// ones.
func Strong(vms []VM) []VM {
	most := 0.0
	for i := range vms {
		most = max(most, vms[i].Cores)
	}
	var strong []VM
	for i := range vms {
		if vms[i].Cores >= minStrongShare*most {
			strong = append(strong, vms[i])
		}
	}
	return strong
}
