package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/member"
)

func TestMessagesInBothDirections(t *testing.T) {
	is := is.New(t)
	a, b := newEndpoint(t, "a", nil), newEndpoint(t, "b", func(o *Options) { o.Incarnation = 7 })
	for i := range 200 {
		is.NoErr(a.Send(b.vm, textBody(fmt.Sprint(i)), textBody("x")))
	}
	eventually(t, "all messages", func() bool { return len(b.bodies()) == 400 })
	for i := range 200 {
		is.Equal(b.bodies()[2*i], fmt.Sprint(i))
	}
	// The answer uses the connection that a opened, so no address is needed.
	is.NoErr(b.Send(fleet.VM{ID: "a"}, textBody("back")))
	eventually(t, "the answer", func() bool { return len(a.bodies()) == 1 })
	is.Equal(a.envs[0].From, fleet.VMID("b"))
	is.Equal(a.envs[0].FromIncarnation, fleet.Incarnation(7))
	is.Equal(b.Stats().Dials, uint64(0))
}

func TestLargestMessage(t *testing.T) {
	is := is.New(t)
	a, b := newEndpoint(t, "a", nil), newEndpoint(t, "b", nil)
	large := textBody(strings.Repeat("x", MaxBody))
	is.NoErr(a.Send(b.vm, large))
	is.NoErr(a.Send(b.vm, textBody("after")))
	eventually(t, "both", func() bool { return len(b.bodies()) == 2 })
	is.Equal(b.bodies()[0], string(large.Data))
	err := a.Send(b.vm, large, large)
	is.True(errors.Is(err, ErrTooLarge))
}

func TestAnswersAreNotAcknowledged(t *testing.T) {
	is := is.New(t)
	a, b := newEndpoint(t, "a", nil), newEndpoint(t, "b", nil)
	ping, err := EncodeMember(&member.Ping{Seq: 1})
	is.NoErr(err)
	ack, err := EncodeMember(&member.Ack{Seq: 1})
	is.NoErr(err)
	is.NoErr(a.Send(b.vm, ping))
	eventually(t, "the ping", func() bool { return len(b.bodies()) == 1 })
	is.NoErr(b.Send(a.vm, ack))
	eventually(t, "the answer", func() bool { return len(a.bodies()) == 1 })
	time.Sleep(3 * DefaultAckDelay)
	is.Equal(b.Stats().AcksSent, uint64(0)) // the answer acknowledged the ping
	is.Equal(a.Stats().AcksSent, uint64(1)) // only the empty frame of the handshake
}

// Guards against foreign machines joining: anyone who reaches the port can speak
// the protocol, so frames made with another key must be refused.
func TestWrongKeyIsRefused(t *testing.T) {
	is := is.New(t)
	b := newEndpoint(t, "b", nil)
	stranger := newEndpoint(t, "a", func(o *Options) { o.Key = []byte("another key, as long as ours") })
	is.NoErr(stranger.Send(b.vm, textBody("let me in")))
	eventually(t, "the refusal", func() bool { return b.Stats().RefusedKey > 0 })
	eventually(t, "the failure", func() bool { return stranger.failures() > 0 })
	is.Equal(len(b.bodies()), 0)
}

// Guards against exhausting the memory: a frame's length field says 2 GB, and a
// reader that trusts it allocates that much.
func TestOversizedFrameIsRefused(t *testing.T) {
	is := is.New(t)
	b := newEndpoint(t, "b", nil)
	c := dialRaw(t, b.vm.PeerAddr)
	c.write(t, []byte{0x7f, 0xff, 0xff, 0xff, Version, byte(typeHello)})
	c.expectClosed(t)
	// The limit for a hello is lower than that for a data frame.
	c = dialRaw(t, b.vm.PeerAddr)
	c.write(t, []byte{0, 0, 0xff, 0xff, Version, byte(typeHello)})
	c.expectClosed(t)
	// After the handshake the limit for data frames applies.
	c = dialRaw(t, b.vm.PeerAddr)
	is.NoErr(c.handshake(t, "a", "b", testKey))
	c.write(t, c.sealData(t, textBody("fine")))
	eventually(t, "a frame", func() bool { return len(b.bodies()) == 1 })
	c.write(t, []byte{0, 0x20, 0, 0, Version, byte(typeData)})
	c.expectClosed(t)
	is.Equal(b.Stats().RefusedSize, uint64(3))
}

// Guards against malformed frames that crash the process or are misread: unknown
// versions and types, and payloads that are not MessagePack, truncated or followed
// by other bytes, from a newer, defective or hostile sender.
func TestMalformedFramesAreRefused(t *testing.T) {
	is := is.New(t)
	b := newEndpoint(t, "b", nil)
	good, err := appendData(0, []Body{textBody("x")})
	is.NoErr(err)
	payloads := map[string][]byte{
		"empty":          {},
		"no messagepack": {0xc1, 0xc1},
		"cut short":      good[:len(good)-1],
		"followed":       append(slices.Clone(good), 0),
		"endless array":  {0x92, 0x00, 0xdd, 0xff, 0xff, 0xff, 0xff},
		"endless body":   {0x92, 0x00, 0x91, 0x92, 0xcc, 0xf0, 0xc6, 0xff, 0xff, 0xff, 0xff},
	}
	for name, p := range payloads {
		c := dialRaw(t, b.vm.PeerAddr)
		is.NoErr(c.handshake(t, "a", "b", testKey))
		c.write(t, sealFrame(typeData, p, c.out.sum))
		c.expectClosed(t)
		t.Log(name)
	}
	is.Equal(b.Stats().RefusedMalformed, uint64(len(payloads)))

	c := dialRaw(t, b.vm.PeerAddr)
	c.write(t, append([]byte{0, 0, 0, 20, Version + 1, byte(typeHello)}, make([]byte, 18)...))
	c.expectClosed(t)
	is.Equal(b.Stats().RefusedVersion, uint64(1))
	c = dialRaw(t, b.vm.PeerAddr)
	c.write(t, append([]byte{0, 0, 0, 20, Version, byte(typeData)}, make([]byte, 18)...))
	c.expectClosed(t)
	is.Equal(b.Stats().RefusedType, uint64(1))
	is.Equal(len(b.bodies()), 0)
}

// Guards against replay: an attacker on the path records genuine frames and sends
// them again on the same connection, on another one, or as a whole connection from
// its first byte. Old messages must not take effect again.
func TestReplayedFramesAreRefused(t *testing.T) {
	is := is.New(t)
	b := newEndpoint(t, "b", nil)
	c := dialRaw(t, b.vm.PeerAddr)
	is.NoErr(c.handshake(t, "a", "b", testKey))
	frame := c.sealData(t, textBody("once"))
	c.write(t, frame)
	eventually(t, "the frame", func() bool { return len(b.bodies()) == 1 })
	c.write(t, frame)
	c.expectClosed(t)
	is.Equal(b.Stats().RefusedMAC, uint64(1))

	other := dialRaw(t, b.vm.PeerAddr)
	is.NoErr(other.handshake(t, "a", "b", testKey))
	other.write(t, frame)
	other.expectClosed(t)
	is.Equal(b.Stats().RefusedMAC, uint64(2))

	again := dialRaw(t, b.vm.PeerAddr)
	for _, w := range c.written {
		again.write(t, w)
	}
	again.expectClosed(t)
	is.Equal(b.Stats().RefusedMAC, uint64(3))

	// An omitted frame is detected too.
	gap := dialRaw(t, b.vm.PeerAddr)
	is.NoErr(gap.handshake(t, "a", "b", testKey))
	gap.sealData(t, textBody("lost"))
	gap.write(t, gap.sealData(t, textBody("next")))
	gap.expectClosed(t)
	is.Equal(b.Stats().RefusedMAC, uint64(4))
	is.Equal(len(b.bodies()), 1)
}

// Guards against impersonation: a machine without the key replays the recorded
// answer of a real VM. The answer is genuine but belongs to another hello.
func TestRecordedAnswerIsRefused(t *testing.T) {
	is := is.New(t)
	b := newEndpoint(t, "b", nil)
	c := dialRaw(t, b.vm.PeerAddr)
	h, err := Encode(0, &hello{ID: "a", Recipient: "b", Nonce: c.nonce})
	is.NoErr(err)
	c.write(t, sealFrame(typeHello, h.Data, helloMAC(testKey, nil)))
	frame, err := c.readFrame()
	is.NoErr(err)
	recorded := append([]byte{0, 0, 0, byte(len(frame))}, frame...)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, _ = conn.Write(recorded)
		}
	}()
	a := newEndpoint(t, "a", nil)
	is.NoErr(a.Send(fleet.VM{ID: "b", PeerAddr: l.Addr().String()}, textBody("secret")))
	eventually(t, "the refusal", func() bool { return a.Stats().RefusedKey == 1 })
}

// Guards against messages that reach the wrong VM: a VM is replaced, and its IP
// address is reassigned to a VM with another id.
func TestMisdirectedHelloIsRefused(t *testing.T) {
	is := is.New(t)
	a, b := newEndpoint(t, "a", nil), newEndpoint(t, "b", nil)
	wrong := fleet.VM{ID: "c", PeerAddr: b.vm.PeerAddr}
	is.NoErr(a.Send(wrong, textBody("for c")))
	eventually(t, "the refusal", func() bool { return b.Stats().RefusedMisdirected > 0 })
	eventually(t, "the failure", func() bool { return a.failures() > 0 })
	is.Equal(len(b.bodies()), 0)
}

// Guards against idle connections that lock out peers: each connection counts
// towards the limit, even if it sends nothing or only a byte now and then.
func TestSlowHelloIsClosed(t *testing.T) {
	is := is.New(t)
	b := newEndpoint(t, "b", func(o *Options) {
		o.HandshakeTimeout = 50 * time.Millisecond
		o.MaxConnections = 2
	})
	slow := []*rawClient{dialRaw(t, b.vm.PeerAddr), dialRaw(t, b.vm.PeerAddr)}
	eventually(t, "both", func() bool { return b.Stats().Connections == 2 })
	dialRaw(t, b.vm.PeerAddr).expectClosed(t)
	is.Equal(b.Stats().RefusedConnections, uint64(1))
	for _, c := range slow {
		c.expectClosed(t)
	}
	is.Equal(b.Stats().HelloTimeouts, uint64(2))
	a := newEndpoint(t, "a", nil)
	is.NoErr(a.Send(b.vm, textBody("in")))
	eventually(t, "a peer", func() bool { return len(b.bodies()) == 1 })
}

// switchLink drops all frames while it is off.
type switchLink struct {
	mu  sync.Mutex
	off bool
}

func (l *switchLink) set(off bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.off = off
}

func (l *switchLink) Pass(_, _ fleet.VMID) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Millisecond, !l.off
}

// Guards against losing everything sent to a live VM: a firewall on the path drops
// the state of an open connection. Writes still succeed and new connections work,
// so only the missing acknowledgements show the failure.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	link := &switchLink{}
	a := newEndpoint(t, "a", func(o *Options) {
		o.Link = link
		o.ReplaceAfter = 100 * time.Millisecond
		o.LostAfter = time.Hour
	})
	b := newEndpoint(t, "b", nil)
	is.NoErr(a.Send(b.vm, textBody("before")))
	eventually(t, "a frame", func() bool { return len(b.bodies()) == 1 })

	link.set(true)
	is.NoErr(a.Send(b.vm, textBody("swallowed"))) // from here on, this connection drops all frames
	link.set(false)
	eventually(t, "the replacement", func() bool { return a.Stats().Replaced == 1 })
	is.NoErr(a.Send(b.vm, textBody("after")))
	eventually(t, "a frame on the new connection", func() bool { return len(b.bodies()) == 2 })
	is.Equal(b.bodies()[1], "after")
	is.Equal(a.Stats().Unconfirmed, uint64(1))
}

// Guards against peers that do not reconnect after a network outage: all frames
// are lost for a while, including those of handshakes. The old connections stay
// dead, and attempts to replace them fail as long as the outage lasts.
func TestReconnectsAfterOutage(t *testing.T) {
	is := is.New(t)
	link := &switchLink{}
	a := newEndpoint(t, "a", func(o *Options) {
		o.Link = link
		o.ReplaceAfter = 50 * time.Millisecond
		o.LostAfter = 150 * time.Millisecond
		o.HandshakeTimeout = 50 * time.Millisecond
		o.BackoffMin, o.BackoffMax = time.Millisecond, 20*time.Millisecond
	})
	b := newEndpoint(t, "b", nil)
	is.NoErr(a.Send(b.vm, textBody("before")))
	eventually(t, "a frame", func() bool { return len(b.bodies()) == 1 })
	link.set(true)
	is.NoErr(a.Send(b.vm, textBody("lost")))
	eventually(t, "the failure", func() bool { return a.failures() > 0 })
	link.set(false)
	eventually(t, "a frame after the outage", func() bool {
		is.NoErr(a.Send(b.vm, textBody("after")))
		return slices.Contains(b.bodies(), "after")
	})
}

// Guards against one VM that accepts connections but never reads: sending to it
// must neither block the process nor queue messages without limit.
func TestStuckPeerDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	const limit = 100 << 10
	a := newEndpoint(t, "a", func(o *Options) { o.MaxQueueBytes = limit })
	stuck := fleet.VM{ID: "stuck", PeerAddr: l.Addr().String()}
	body := textBody(strings.Repeat("x", 1000))
	for range 1000 {
		is.NoErr(a.Send(stuck, body))
	}
	s := a.Stats()
	is.True(s.QueuedBodies <= limit/1000)
	is.Equal(s.Dropped+s.QueuedBodies, uint64(1000))
	b := newEndpoint(t, "b", nil)
	is.NoErr(a.Send(b.vm, textBody("hello")))
	eventually(t, "another VM", func() bool { return len(b.bodies()) == 1 })
}

// Guards against a restarted VM receiving nothing until a time-out: it starts at the
// same address with a higher incarnation, and the connection to the earlier process
// still seems usable.
func TestHigherIncarnationGetsNewConnection(t *testing.T) {
	is := is.New(t)
	a := newEndpoint(t, "a", func(o *Options) { o.BackoffMin = time.Millisecond })
	first := newEndpoint(t, "b", nil)
	is.NoErr(a.Send(first.vm, textBody("one")))
	eventually(t, "a frame", func() bool { return len(first.bodies()) == 1 })
	second := newEndpoint(t, "b", func(o *Options) { o.Incarnation = 2 })
	is.NoErr(a.Send(second.vm, textBody("two")))
	eventually(t, "a frame at the second", func() bool { return len(second.bodies()) == 1 })
	is.Equal(len(first.bodies()), 1)
	is.Equal(second.bodies()[0], "two")
}

// Guards against losing messages sent just before a planned stop: when the transport
// is closed, they are still queued and wait for a connection.
func TestCloseFlushesQueue(t *testing.T) {
	is := is.New(t)
	a, b := newEndpoint(t, "a", nil), newEndpoint(t, "b", nil)
	for i := range 50 {
		is.NoErr(a.Send(b.vm, textBody(fmt.Sprint(i))))
	}
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	is.NoErr(a.Close(ctx))
	is.Equal(len(b.bodies()), 50)
	is.True(errors.Is(a.Send(b.vm, textBody("late")), ErrClosed))
	is.True(errors.Is(a.Close(ctx), ErrClosed))
}

func TestOptionsAreChecked(t *testing.T) {
	is := is.New(t)
	_, err := New(Options{ID: "a", Key: []byte("short")}, nil, nil)
	is.True(errors.Is(err, ErrKey))
	_, err = New(Options{Key: testKey}, nil, nil)
	is.True(errors.Is(err, ErrID))
	a := newEndpoint(t, "a", nil)
	is.True(errors.Is(a.Send(fleet.VM{ID: "nowhere"}, textBody("x")), ErrNoAddress))
}
