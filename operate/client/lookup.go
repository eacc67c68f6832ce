package client

import (
	"context"
	"net/url"

	"github.com/azurethread/azurethread/decide/fleet"
)

// lookupPath is the path of the look-up in the callers' interface.
const lookupPath = "/v1/lookup"

// Lookup is the answer of a look-up.
type Lookup struct {
	Service  fleet.ServiceName `json:"service"`
	Revision uint64            `json:"revision"` // catalogue revision it was answered from
	TTLMs    int64             `json:"ttl_ms"`   // how long a caller may keep it, in milliseconds
	Home     fleet.Region      `json:"home"`     // the client's own region
	Region   fleet.Region      `json:"region"`   // region it is steered to
	Shift    string            `json:"shift,omitempty"`
	EntryVMs []LookupVM        `json:"entry_vms"` // best first
}

// LookupVM is one entry VM to use.
type LookupVM struct {
	ID     fleet.VMID   `json:"id"`
	Addr   string       `json:"addr"` // host:port
	Region fleet.Region `json:"region"`
	Domain fleet.Domain `json:"domain"`
}

// Lookup returns the entry VMs that a client, given as an address or a block,
// should use for a service. The Client must have been made with an entry VM's
// address for callers. The look-up requests no one-time tokens.
func (c *Client) Lookup(ctx context.Context, service, client string) (Lookup, error) {
	q := url.Values{"service": {service}, "client": {client}, "tokens": {"0"}}
	return get[Lookup](ctx, c, lookupPath+"?"+q.Encode())
}
