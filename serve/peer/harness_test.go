package peer

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
)

var testKey = []byte("a shared key for tests only")

// eventuallyTimeout limits the wait for an expected event; tests that pass do not
// reach it.
const eventuallyTimeout = 10 * time.Second

// endpoint is a transport that records what it received.
type endpoint struct {
	*Transport
	vm fleet.VM

	mu     sync.Mutex
	envs   []Envelope
	failed []fleet.VMID
}

func newEndpoint(t *testing.T, id fleet.VMID, change func(*Options)) *endpoint {
	t.Helper()
	o := Options{ID: id, Incarnation: 1, Key: testKey}
	if change != nil {
		change(&o)
	}
	e := &endpoint{}
	tr, err := New(o, e.receive, e.recordFailure)
	if err != nil {
		t.Fatal(err)
	}
	e.Transport = tr
	addr, err := tr.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.vm = fleet.VM{ID: id, PeerAddr: addr, Incarnation: o.Incarnation}
	t.Cleanup(func() { e.close() })
	return e
}

func init() {
	// nbio logs a line for each start and stop.
	logging.SetLevel(logging.LevelError)
}

func (e *endpoint) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = e.Close(ctx)
}

func (e *endpoint) receive(_ fleet.VMID, env Envelope) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.envs = append(e.envs, env)
}

func (e *endpoint) recordFailure(to fleet.VMID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failed = append(e.failed, to)
}

// bodies returns the data of all messages received so far.
func (e *endpoint) bodies() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, env := range e.envs {
		for _, b := range env.Bodies {
			out = append(out, string(b.Data))
		}
	}
	return out
}

func (e *endpoint) failures() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.failed)
}

func textBody(s string) Body { return Body{Kind: KindTest, Data: []byte(s)} }

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	end := time.Now().Add(eventuallyTimeout)
	for !ok() {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// rawClient is a hand-written peer, for sending what a Transport never sends.
type rawClient struct {
	net.Conn
	nonce   []byte
	out, in *frameAuth
	written [][]byte
}

// dialRaw connects without a hello.
func dialRaw(t *testing.T, addr string) *rawClient {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	r := &rawClient{Conn: c, nonce: make([]byte, nonceSize)}
	_, _ = rand.Read(r.nonce)
	return r
}

// handshake completes the handshake as VM id, using key.
func (r *rawClient) handshake(t *testing.T, id, recipient fleet.VMID, key []byte) error {
	t.Helper()
	is := is.New(t)
	b, err := Encode(0, &hello{ID: id, Incarnation: 1, Recipient: recipient, Nonce: r.nonce})
	is.NoErr(err)
	r.write(t, sealFrame(typeHello, b.Data, helloMAC(key, nil)))
	frame, err := r.readFrame()
	if err != nil {
		return err
	}
	_, payload, mac, err := parseFrame(frame)
	is.NoErr(err)
	is.Equal(helloMAC(key, r.nonce)(frame[:len(frame)-macSize]), mac)
	var h hello
	is.NoErr(Decode(Body{Data: payload}, maxHelloSize, &h))
	r.out = newFrameAuth(key, fromDialler, r.nonce, h.Nonce)
	r.in = newFrameAuth(key, fromAccepter, r.nonce, h.Nonce)
	return nil
}

func (r *rawClient) sealData(t *testing.T, bodies ...Body) []byte {
	t.Helper()
	payload, err := appendData(0, bodies)
	if err != nil {
		t.Fatal(err)
	}
	return sealFrame(typeData, payload, r.out.sum)
}

func (r *rawClient) write(t *testing.T, b []byte) {
	t.Helper()
	r.written = append(r.written, b)
	if _, err := r.Write(b); err != nil {
		t.Logf("write: %v", err) // the other side may have closed already
	}
}

func (r *rawClient) readFrame() ([]byte, error) {
	_ = r.SetReadDeadline(time.Now().Add(eventuallyTimeout))
	head := make([]byte, lengthSize)
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, err
	}
	n := int(head[0])<<24 | int(head[1])<<16 | int(head[2])<<8 | int(head[3])
	frame := make([]byte, n)
	_, err := io.ReadFull(r, frame)
	return frame, err
}

// expectClosed reads until the other side closes the connection.
func (r *rawClient) expectClosed(t *testing.T) {
	t.Helper()
	_ = r.SetReadDeadline(time.Now().Add(eventuallyTimeout))
	_, err := io.Copy(io.Discard, r)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Fatal("connection still open")
	}
}
