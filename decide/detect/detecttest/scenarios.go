package detecttest

import "time"

// Source generates a trace from a seed.
type Source interface {
	Generate(seed uint64) Trace
}

// Connections returns the scenarios of connections to one target with three
// slots, at the latency of a look-up inside a failure domain.
func Connections() []Source {
	base := Requests{
		Name: "conn/normal", Members: 40, Capacity: 1, Rate: 150, Length: 2 * time.Minute,
		Median: 8 * time.Millisecond, Sigma: 0.6, LongShare: 0.01, MaxLongLatency: 2 * time.Second, Stops: 10,
	}
	return variants(base, "conn", 0.5)
}

// Targets returns the scenarios of the targets of one service in a failure
// domain. A stop represents a crashed machine, which sends no more answers, and
// a link that fails in one direction; the observer can't tell them apart. A
// crashed process resets its connections, which needs no detector.
func Targets() []Source {
	base := Requests{
		Name: "target/normal", Members: 8, Capacity: 3, Rate: 300, Length: 2 * time.Minute,
		Median: 12 * time.Millisecond, Sigma: 0.6, LongShare: 0.01, MaxLongLatency: 2 * time.Second, Stops: 8,
	}
	return variants(base, "target", 1)
}

// variants returns base, and base with one other latency, load or pause in each.
func variants(base Requests, name string, lowRate float64) []Source {
	uniform, slow, cold, low, all, one, long, large := base, base, base, base, base, base, base, base
	uniform.Name, uniform.LongShare = name+"/no-tail", 0
	slow.Name, slow.SlowFactor = name+"/all-slow-5x", 5
	cold.Name, cold.ColdFactor, cold.ColdLength = name+"/one-cold-10x", 10, 20*time.Second
	low.Name, low.Rate, low.Length = name+"/low-traffic", lowRate, 20*time.Minute
	all.Name, all.PauseAll = name+"/pause-all", Pause{Every: 10 * time.Second, Mean: 300 * time.Millisecond}
	one.Name, one.PauseOne = name+"/pause-one", Pause{Every: 20 * time.Second, Mean: 300 * time.Millisecond}
	long.Name, long.LongShare = name+"/long-tail", 0.05
	large.Name, large.Median, large.Rate, large.MaxLongLatency = name+"/large", 50*base.Median, base.Rate/25, 5*time.Second
	return []Source{uniform, base, long, large, slow, cold, all, one, low}
}

// Peers returns the scenarios of heartbeats between nine entry VMs.
func Peers() []Source {
	base := Heartbeats{
		Name: "peer/normal", Members: 8, Interval: 500 * time.Millisecond,
		Jitter: 20 * time.Millisecond, Length: 10 * time.Minute, Stops: 4,
	}
	loss2, loss10, all, one, jitter := base, base, base, base, base
	loss2.Name, loss2.Loss = "peer/loss-2%", 0.02
	loss10.Name, loss10.Loss = "peer/loss-10%", 0.10
	all.Name, all.PauseAll = "peer/pause-all", Pause{Every: 30 * time.Second, Mean: time.Second}
	one.Name, one.PauseOne = "peer/pause-one", Pause{Every: 30 * time.Second, Mean: 500 * time.Millisecond}
	jitter.Name, jitter.Jitter = "peer/jitter", 150*time.Millisecond
	return []Source{base, loss2, loss10, jitter, all, one}
}
