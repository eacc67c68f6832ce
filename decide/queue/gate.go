package queue

// Gate bounds the work waiting on one entry VM.
type Gate struct {
	MaxItems int   // waiting requests of all services together
	MaxBytes int64 // their bodies, in bytes
	// DeferrableShare is the part of both bounds, in [0,1], that deferrable
	// work may fill.
	DeferrableShare float64

	items int
	bytes int64
}

// Items returns the number of waiting requests.
func (g *Gate) Items() int { return g.items }

// Bytes returns the size of their bodies.
func (g *Gate) Bytes() int64 { return g.bytes }

// Admits reports whether one more request with a body of the given bytes may
// wait.
func (g *Gate) Admits(deferrable bool, bytes int64) bool {
	share := 1.0
	if deferrable {
		share = g.DeferrableShare
	}
	return float64(g.items+1) <= share*float64(g.MaxItems) &&
		float64(g.bytes+bytes) <= share*float64(g.MaxBytes)
}

// Add counts a request that starts to wait.
func (g *Gate) Add(bytes int64) {
	g.items++
	g.bytes += bytes
}

// Remove counts a request that no longer waits.
func (g *Gate) Remove(bytes int64) {
	g.items--
	g.bytes -= bytes
}
