package detect

import "time"

// The default settings; docs/design/detection.md has the measurements.
const (
	// answerPhi is the suspicion level at which a silence is improbable enough.
	answerPhi = 8
	// answerGate is how many signs of life of siblings a silence must outlast.
	answerGate = 4
	// answerMinSilence is above the scheduling jitter of the local machine.
	answerMinSilence = 20 * time.Millisecond

	// heartbeatBound and heartbeatBoundMax are numbers of missed rounds. With
	// a tenth of the heartbeats lost, the first is exceeded by chance, by four
	// losses in a row, once in 10,000 heartbeats.
	heartbeatBound    = 3
	heartbeatBoundMax = 8
	// heartbeatMaxIntervals bounds a silence during which no peer was heard.
	heartbeatMaxIntervals = 12
)

// ForAnswers returns the default detector for connections to one target, or
// for the targets of one service. A member that is silent for longer than
// maxSilence is suspected even if no sibling answers; maxSilence should exceed
// the longest regular latency.
func ForAnswers(maxSilence time.Duration) *Phi {
	return NewPhi(PhiConfig{
		Phi:        answerPhi,
		LogNormal:  true,
		Gate:       answerGate,
		MinSilence: answerMinSilence,
		MaxSilence: maxSilence,
	})
}

// ForHeartbeats returns the default detector for entry VMs that send a
// heartbeat every interval.
func ForHeartbeats(interval time.Duration) *Relative {
	return NewRelative(RelativeConfig{
		Pace:       ByRound,
		MinRound:   interval / 2,
		Bound:      heartbeatBound,
		BoundMax:   heartbeatBoundMax,
		MinSilence: interval,
		MaxSilence: heartbeatMaxIntervals * interval,
	})
}
