package peer

import (
	"errors"
	"time"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Options are the settings of a Transport. A zero duration or size takes its
// default.
type Options struct {
	ID          fleet.VMID
	Incarnation fleet.Incarnation
	// Key is the secret that all entry VMs share; at least MinKey bytes.
	Key []byte

	DialTimeout      time.Duration // to get a connection
	HandshakeTimeout time.Duration // to complete the handshake
	AckDelay         time.Duration // before a frame is acknowledged by an empty one
	ReplaceAfter     time.Duration // unacknowledged, before a replacement is dialled
	LostAfter        time.Duration // unacknowledged, before a connection is given up
	IdleTimeout      time.Duration // without any frame, before a connection is closed
	BackoffMin       time.Duration // after a first failure to connect
	BackoffMax       time.Duration // after many
	QueueTimeout     time.Duration // that a message waits for a connection
	MaxQueueBytes    int           // that wait for a VM; beyond it the oldest go
	WindowBytes      int           // unacknowledged on one connection
	MaxConnections   int           // accepted at once

	// Link, if set, may hold frames back; for tests.
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
	// MinKeyBytes is the least length of the shared key.
	MinKeyBytes = 16
)

// immediateAckBytes received are acknowledged without delay.
const immediateAckBytes = 64 << 10

// maintainInterval is the resolution of the durations above.
const maintainInterval = 20 * time.Millisecond

// Errors of New and Send.
var (
	ErrKey       = errors.New("peer: shared key too short")
	ErrID        = errors.New("peer: no VM id")
	ErrNoAddress = errors.New("peer: no address and no connection")
	ErrClosed    = errors.New("peer: transport closed")
)

// Link decides what becomes of a frame on its way to another VM: it arrives
// after delay, or it never does. Once a frame is lost, its connection stays
// silent, as a real one would after a firewall on the path has dropped its
// state.
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
