package quota

import (
	"cmp"
	"slices"
)

// LeastShare is the part of the tokens that the least urgent requests keep while more
// urgent ones are short of tokens.
const LeastShare = 0.1

// Demand is a rate of requests of one priority.
type Demand struct {
	Priority  int     // 0 is the most urgent
	PerSecond float64 // requests per second; positive and finite
}

// Divide divides a rate of tokens between demands and returns the part of each, in the
// same order. The demands of the most urgent priority are served first, then those of the
// others; of a priority that cannot be served in full, each gets a part in proportion to
// its rate. The least urgent priority keeps LeastShare of the tokens if it needs as many.
// The parts add up to the supply at most, and no part exceeds its demand.
func Divide(supply float64, demands []Demand) []float64 {
	parts := make([]float64, len(demands))
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demands[a].Priority, demands[b].Priority) })
	var reserved float64 // for the least urgent priority
	for first, end := 0, 0; first < len(order); first = end {
		sum := 0.0
		for end = first; end < len(order) && demands[order[end]].Priority == demands[order[first]].Priority; end++ {
			sum += demands[order[end]].PerSecond
		}
		if first == 0 && end < len(order) {
			reserved = leastReserve(supply, demands, demands[order[len(order)-1]].Priority)
			supply -= reserved
		}
		if end == len(order) {
			supply += reserved
		}
		given := min(sum, supply)
		supply -= given
		for _, i := range order[first:end] {
			if sum > 0 {
				parts[i] = given * demands[i].PerSecond / sum
			}
		}
	}
	return parts
}

// leastReserve returns the part of the supply that is kept for the demands of the least
// urgent priority.
func leastReserve(supply float64, demands []Demand, least int) float64 {
	sum := 0.0
	for _, d := range demands {
		if d.Priority == least {
			sum += d.PerSecond
		}
	}
	return min(sum, LeastShare*supply)
}
