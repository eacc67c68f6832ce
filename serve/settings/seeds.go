package settings

import (
	"fmt"
	"net"
	"strings"

	"github.com/azurethread/azurethread/decide/fleet"
)

// ParseSeeds parses the entry VMs to contact at start, separated by commas. Each is
// written as id@region/domain=host:port with its peer address.
func ParseSeeds(text string) ([]fleet.VM, error) {
	if strings.TrimSpace(text) == "" {
		return nil, nil
	}
	var vms []fleet.VM
	for _, part := range strings.Split(text, ",") {
		vm, err := parseSeed(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

func parseSeed(part string) (fleet.VM, error) {
	name, addr, ok1 := strings.Cut(part, "=")
	id, place, ok2 := strings.Cut(name, "@")
	region, domain, ok3 := strings.Cut(place, "/")
	_, port, err := net.SplitHostPort(addr)
	if !ok1 || !ok2 || !ok3 || id == "" || region == "" || domain == "" || err != nil || port == "" {
		return fleet.VM{}, fmt.Errorf("%q is not id@region/domain=host:port", part)
	}
	return fleet.VM{
		ID:       fleet.VMID(id),
		Region:   fleet.Region(region),
		Domain:   fleet.Domain(domain),
		PeerAddr: addr,
	}, nil
}
