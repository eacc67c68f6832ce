package peer

import (
	"crypto/rand"
	"fmt"
	"time"

	"github.com/lesismal/nbio"

	"github.com/azurethread/azurethread/decide/fleet"
)

// conn is one connection. Its fields are guarded by Transport.mu, except split,
// which only this connection's poller goroutine uses.
type conn struct {
	t            *Transport
	nb           *nbio.Conn
	dialled      bool
	opened       time.Time
	lastReceived time.Time
	split        splitter
	closed       bool

	peer        fleet.VMID // intended recipient if dialled, else from the hello
	incarnation fleet.Incarnation
	nonce       []byte
	out, in     *frameAuth // nil until the hellos have been exchanged
	established bool       // the other side has proved that it knows the key

	unacked         []sentFrame // frames awaiting acknowledgement, in order
	unackedBytes    int
	ackSeq          uint64    // last frame to acknowledge
	ackPendingBytes int       // bytes received and not yet acknowledged
	ackDue          time.Time // zero if everything is acknowledged

	linkBroken bool // Link has dropped a frame
	delayed    []delayedFrame
}

// sentFrame is a frame in transit.
type sentFrame struct {
	seq    uint64
	size   int
	bodies int
	at     time.Time
}

type delayedFrame struct {
	due   time.Time
	frame []byte
}

func newConn(t *Transport, nb *nbio.Conn, now time.Time) *conn {
	c := &conn{t: t, nb: nb, opened: now, lastReceived: now, nonce: make([]byte, nonceSize)}
	c.split.limit = maxHelloSize
	if _, err := rand.Read(c.nonce); err != nil {
		panic(fmt.Sprintf("peer: no randomness: %v", err)) // never returned since Go 1.24
	}
	return c
}

// receive processes bytes from the poller and returns the envelopes they
// complete.
func (c *conn) receive(b []byte) ([]Envelope, error) {
	var envs []Envelope
	err := c.split.push(b, func(frame []byte) error {
		c.t.mu.Lock()
		defer c.t.mu.Unlock()
		env, ok, err := c.handleFrame(frame)
		if ok {
			envs = append(envs, env)
		}
		return err
	})
	return envs, err
}

// handleFrame processes one frame. It reports true if the frame held messages.
func (c *conn) handleFrame(frame []byte) (Envelope, bool, error) {
	if c.closed {
		return Envelope{}, false, nil
	}
	t, payload, mac, err := parseFrame(frame)
	if err != nil {
		return Envelope{}, false, err
	}
	c.lastReceived = c.t.now()
	c.t.stats.FramesReceived++
	c.t.stats.BytesReceived += uint64(lengthSize + len(frame))
	switch {
	case c.in == nil && t == typeHello:
		return Envelope{}, false, c.handleHello(frame[:len(frame)-macSize], payload, mac)
	case c.in != nil && t == typeData:
		return c.handleData(frame[:len(frame)-macSize], payload, mac)
	default:
		return Envelope{}, false, fmt.Errorf("%w: %d", ErrFrameType, t)
	}
}

// handleHello processes the other side's hello.
func (c *conn) handleHello(signed, payload, mac []byte) error {
	var answered []byte
	if c.dialled {
		answered = c.nonce
	}
	if !macEqual(helloMAC(c.t.o.Key, answered)(signed), mac) {
		return ErrWrongKey
	}
	var h hello
	if err := Decode(Body{Data: payload}, maxHelloSize, &h); err != nil {
		return err
	}
	if len(h.Nonce) != nonceSize || h.ID == "" {
		return fmt.Errorf("%w: hello without a valid nonce or id", ErrMalformed)
	}
	if c.dialled {
		return c.completeAsDialler(&h)
	}
	return c.answerHello(&h)
}

// completeAsDialler completes the handshake on the side that dialled.
func (c *conn) completeAsDialler(h *hello) error {
	if h.ID != c.peer && !isAddress(c.peer) {
		return fmt.Errorf("%w: reached %s instead of %s", ErrMisdirected, h.ID, c.peer)
	}
	c.incarnation = h.Incarnation
	c.out = newFrameAuth(c.t.o.Key, fromDialler, c.nonce, h.Nonce)
	c.in = newFrameAuth(c.t.o.Key, fromAccepter, c.nonce, h.Nonce)
	c.establish()
	// An empty frame proves to the other side at once that this side knows the key.
	c.sendAck()
	c.t.useConn(c)
	return nil
}

// answerHello answers the hello of the side that dialled. That hello may be a
// recording, so the connection is established only by a valid data frame.
func (c *conn) answerHello(h *hello) error {
	if h.Recipient != c.t.o.ID && !isAddress(h.Recipient) {
		return fmt.Errorf("%w: %s intended to reach %s", ErrMisdirected, h.ID, h.Recipient)
	}
	c.peer = h.ID
	c.incarnation = h.Incarnation
	c.out = newFrameAuth(c.t.o.Key, fromAccepter, h.Nonce, c.nonce)
	c.in = newFrameAuth(c.t.o.Key, fromDialler, h.Nonce, c.nonce)
	return c.sendHello("", h.Nonce)
}

func (c *conn) establish() {
	c.established = true
	c.split.limit = MaxFrame
}

func (c *conn) sendHello(recipient fleet.VMID, answered []byte) error {
	b, err := Encode(0, &hello{
		ID:          c.t.o.ID,
		Incarnation: c.t.o.Incarnation,
		Recipient:   recipient,
		Nonce:       c.nonce,
	})
	if err != nil {
		return err
	}
	c.write(sealFrame(typeHello, b.Data, helloMAC(c.t.o.Key, answered)))
	return nil
}

// handleData processes a data frame.
func (c *conn) handleData(signed, payload, mac []byte) (Envelope, bool, error) {
	if err := c.in.verify(signed, mac); err != nil {
		return Envelope{}, false, err
	}
	ack, bodies, err := decodeData(payload)
	if err != nil {
		return Envelope{}, false, err
	}
	if !c.established {
		c.establish()
		c.t.useConn(c)
	}
	c.handleAck(ack)
	if len(bodies) == 0 {
		return Envelope{}, false, nil
	}
	if !noneNeedsAck(bodies) {
		c.scheduleAck(len(payload))
	}
	env := Envelope{
		From:            c.peer,
		FromIncarnation: c.incarnation,
		Seq:             c.in.seq,
		Bodies:          bodies,
	}
	return env, true, nil
}

// scheduleAck records that the frame just received has to be acknowledged. Large
// amounts of data are acknowledged at once; otherwise their sender would wait
// for its window each time.
func (c *conn) scheduleAck(size int) {
	c.ackSeq = c.in.seq
	c.ackPendingBytes += size
	if c.ackDue.IsZero() {
		c.ackDue = c.lastReceived.Add(c.t.o.AckDelay)
	}
	if c.ackPendingBytes >= immediateAckBytes {
		c.sendAck()
	}
}

// handleAck removes the frames that the other side has acknowledged.
func (c *conn) handleAck(seq uint64) {
	n := 0
	for n < len(c.unacked) && c.unacked[n].seq <= seq {
		c.unackedBytes -= c.unacked[n].size
		n++
	}
	c.unacked = append(c.unacked[:0], c.unacked[n:]...)
	if n > 0 {
		c.t.sendQueued(c.peer)
	}
}

// send writes messages in one frame.
func (c *conn) send(bodies []Body) error {
	payload, err := appendData(c.ackSeq, bodies)
	if err != nil {
		return fmt.Errorf("peer: encode frame: %w", err)
	}
	frame := sealFrame(typeData, payload, c.out.sum)
	c.ackDue = time.Time{}
	c.ackPendingBytes = 0
	if !noneNeedsAck(bodies) {
		c.unacked = append(c.unacked, sentFrame{
			seq:    c.out.seq,
			size:   len(frame),
			bodies: len(bodies),
			at:     c.t.now(),
		})
		c.unackedBytes += len(frame)
	}
	c.write(frame)
	return nil
}

func (c *conn) sendAck() {
	if c.send(nil) == nil {
		c.t.stats.AcksSent++
	}
}

// unackedFor returns how long the oldest unacknowledged frame has waited; 0 if
// there is none.
func (c *conn) unackedFor(now time.Time) time.Duration {
	if len(c.unacked) == 0 {
		return 0
	}
	return now.Sub(c.unacked[0].at)
}

// write writes a frame to the connection, through Link if it is set.
func (c *conn) write(frame []byte) {
	c.t.stats.FramesSent++
	c.t.stats.BytesSent += uint64(len(frame))
	if c.t.o.Link == nil {
		c.writeNow(frame)
		return
	}
	delay, ok := c.t.o.Link.Pass(c.t.o.ID, c.peer)
	if !ok || c.linkBroken {
		c.linkBroken = true
		return
	}
	if delay == 0 && len(c.delayed) == 0 {
		c.writeNow(frame)
		return
	}
	c.delayed = append(c.delayed, delayedFrame{due: c.t.now().Add(delay), frame: frame})
	time.AfterFunc(delay, c.writeDelayed)
}

func (c *conn) writeDelayed() {
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	now := c.t.now()
	for len(c.delayed) > 0 && !c.delayed[0].due.After(now) && !c.closed {
		c.writeNow(c.delayed[0].frame)
		c.delayed = c.delayed[1:]
	}
}

// writeNow never blocks: nbio buffers what the socket does not accept, and the
// window limits that amount. Errors are ignored, since nbio then closes the
// connection and onClose handles that.
func (c *conn) writeNow(frame []byte) {
	_, _ = c.nb.Write(frame)
}
