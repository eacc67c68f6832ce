package detect

import "time"

// The settings that measured best; docs/design/detection.md has the figures.
const (
	// answerPhi sets how improbable a silence must be.
	answerPhi = 8
	// answerGate is how many signs of life of siblings a silence must outlast.
	answerGate = 4
	// answerMinSilence is above the jitter of the machine's own scheduling.
	answerMinSilence = 20 * time.Millisecond

	// heartbeatBound and heartbeatBoundMax are rounds missed: the first is
	// passed by chance once in 10,000 at a loss of a tenth.
	heartbeatBound    = 3
	heartbeatBoundMax = 8
	// heartbeatMaxIntervals bounds a silence in which nobody was heard.
	heartbeatMaxIntervals = 12
)

// ForAnswers returns the default detector for connections to one target, or
// for the targets of one service. A silence past maxSilence is suspected even
// if no sibling answers; it should be above the longest honest answer.
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
