package peer

import (
	"errors"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Options are the settings of a Transport. A zero duration or size means the
// default.
type Options struct {
	ID          fleet.VMID
	Incarnation fleet.Incarnation
	// Key is the secret shared by all entry VMs, of at least MinKeyBytes bytes.
	Key []byte

	DialTimeout      time.Duration // for connecting
	HandshakeTimeout time.Duration // for completing the handshake
	AckDelay         time.Duration // until a frame is acknowledged by an empty one
	ReplaceAfter     time.Duration // without an acknowledgement, until a replacement is dialled
	LostAfter        time.Duration // without an acknowledgement, until the connection is given up
	IdleTimeout      time.Duration // without any frame, until the connection is closed
	BackoffMin       time.Duration // delay after the first failure to connect
	BackoffMax       time.Duration // maximum delay after repeated failures
	QueueTimeout     time.Duration // how long a message may wait for a connection
	MaxQueueBytes    int           // queued for a VM; beyond it the oldest messages are dropped
	WindowBytes      int           // unacknowledged bytes on one connection
	MaxConnections   int           // accepted connections open at once

	// Link, if set, may delay or drop frames; for tests.
	Link Link
}

// The defaults of Options.
const (
	DefaultDialTimeout      = time.Second
	DefaultHandshakeTimeout = time.Second
	DefaultAckDelay         = 40 * time.Millisecond
	DefaultReplaceAfter     = 500 * time.Millisecond
	DefaultLostAfter        = 1500 * time.Millisecond
	DefaultIdleTimeout      = 45 * time.Second
	DefaultBackoffMin       = 50 * time.Millisecond
	DefaultBackoffMax       = time.Second
	DefaultQueueTimeout     = 3 * time.Second
	DefaultMaxQueueBytes    = MaxFrame + 256<<10
	DefaultWindowBytes      = MaxFrame + 256<<10
	DefaultMaxConnections   = 4096
	// MinKeyBytes is the minimum length of the shared key.
	MinKeyBytes = 16
)

// immediateAckBytes is the amount of unacknowledged received data that is
// acknowledged without delay.
const immediateAckBytes = 64 << 10

// maintainInterval is the resolution of the durations in Options.
const maintainInterval = 20 * time.Millisecond

// Errors of New and Send.
var (
	ErrKey       = errors.New("peer: shared key too short")
	ErrID        = errors.New("peer: no VM id")
	ErrNoAddress = errors.New("peer: no address and no connection")
	ErrClosed    = errors.New("peer: transport closed")
)

// Link simulates the network to another VM: a frame arrives after delay, or is
// lost if ok is false. Once a frame is lost, all later frames of its connection
// are lost too, as after a firewall on the path has dropped its state.
type Link interface {
	Pass(from, to fleet.VMID) (delay time.Duration, ok bool)
}

func (o Options) withDefaults() Options {
	setDuration(&o.DialTimeout, DefaultDialTimeout)
	setDuration(&o.HandshakeTimeout, DefaultHandshakeTimeout)
	setDuration(&o.AckDelay, DefaultAckDelay)
	setDuration(&o.ReplaceAfter, DefaultReplaceAfter)
	setDuration(&o.LostAfter, DefaultLostAfter)
	setDuration(&o.IdleTimeout, DefaultIdleTimeout)
	setDuration(&o.BackoffMin, DefaultBackoffMin)
	setDuration(&o.BackoffMax, DefaultBackoffMax)
	setDuration(&o.QueueTimeout, DefaultQueueTimeout)
	setInt(&o.MaxQueueBytes, DefaultMaxQueueBytes)
	setInt(&o.WindowBytes, DefaultWindowBytes)
	setInt(&o.MaxConnections, DefaultMaxConnections)
	return o
}

func setDuration(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}

func setInt(n *int, def int) {
	if *n == 0 {
		*n = def
	}
}
