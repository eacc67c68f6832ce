package capacity

// The resources of entry VMs on the users' platform, which has large and small
// VMs. Readers of the store and coordinators are large ones.
const (
	largeVMLink   = 200e6 / 8 // bytes a second, of a large VM
	smallVMMemory = 184e6     // bytes, of a small VM
)

// fleet returns the needs of a whole fleet on the users' platform. They were
// measured in simulated runs of one day at several sizes, with ten targets for
// each entry VM and as many callers.
func (m *model) fleet() role {
	at := func(kind string) figure { return m.at(sweepPrefix+kind+"/vms", float64(m.sizes.Daemons)) }
	return role{
		name: "Entry VM on the users' platform",
		note: "`azurethreadd platform`: the busiest or slowest of the fleet on a day on which a failure domain and all entry VMs are lost, with ten targets for each entry VM.",
		rows: []row{
			{"processor, of its share", at("processor").scaled(1e-2), unitShare, 0, "decisions cost the same at any size (decide/ingress)"},
			{"memory", at("memory").scaled(1e6), unitBytes, smallVMMemory, "one copy of the store's keys"},
			{"traffic, callers' requests included", at("bytes").scaled(1e3), unitBytesPS, largeVMLink,
				"readers pass on copies, compressed, to their failure domain (serve/ingress)"},
			{"connections", at("connections"), unitCount, 0, "callers, targets and other entry VMs"},
			{"calls to the store, all entry VMs, in the day", at("store-calls"), unitCount, 0, "three readers in a region; renewals"},
			{"a change accepted", at("accepted").scaled(1e-3), unitSeconds, 0, "by the store"},
			{"a change in force at the last", at("in-force").scaled(1e-3), unitSeconds, boundInForce, "readers ask every 0.4 s, followers them"},
			{"the next change accepted after a loss of entry VMs", at("after-kill").scaled(1e-3), unitSeconds, 0, "by the store"},
			{"served again after all entry VMs were killed", at("after-loss"), unitSeconds, 0, "first copies by need, compressed"},
			{"served again after a failure domain was lost", at("after-domain"), unitSeconds, 0, "leases end after seconds"},
		},
	}
}
