package detect_test

import (
	"bufio"
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/clock"
	"github.com/azurethread/azurethread/decide/detect"
	"github.com/azurethread/azurethread/decide/detect/detecttest"
)

var recordTraces = flag.Bool("record", false, "record testdata/traces again over loopback TCP (takes half a minute)")

// loopbackTarget is a target on loopback that answers each byte with a byte.
type loopbackTarget struct {
	mu             sync.RWMutex // held for writing while the process pauses
	latencyFactor  float64
	connectionLost [recordConnections]bool // whether the connection's answers are lost
}

const (
	recordConnections = 24
	recordLength      = 10 * time.Second
	recordGap         = 6 * time.Millisecond // between two requests
)

func (s *loopbackTarget) serve(c net.Conn, rng *rand.Rand) {
	var b [1]byte
	for {
		if _, err := c.Read(b[:]); err != nil {
			return
		}
		s.mu.RLock()
		factor := s.latencyFactor
		s.mu.RUnlock()
		// Log-normal with a median of 8 ms.
		time.Sleep(time.Duration(factor * 8e6 * math.Exp(0.6*rng.NormFloat64())))
		s.mu.RLock()
		if !s.connectionLost[b[0]] {
			c.Write(b[:])
		}
		s.mu.RUnlock()
	}
}

type recorder struct {
	mu     sync.Mutex
	start  time.Time
	events []detecttest.Event
	idle   []detect.ID
}

func (r *recorder) add(kind detecttest.Kind, id detect.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, detecttest.Event{At: clock.Time(time.Since(r.start)), Kind: kind, ID: id})
	if kind == detecttest.Done {
		r.idle = append(r.idle, id)
	}
}

func (r *recorder) takeIdle() (detect.ID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.idle) == 0 {
		return 0, false
	}
	id := r.idle[0]
	r.idle = r.idle[1:]
	return id, true
}

// TestMain records the traces first if -record is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if *recordTraces {
		if err := recordAll(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

func recordAll() error {
	faults := map[string]func(*loopbackTarget, time.Duration){
		"silent": func(*loopbackTarget, time.Duration) {},
		"pause": func(s *loopbackTarget, at time.Duration) {
			if at%(2*time.Second) < recordGap {
				s.mu.Lock()
				time.AfterFunc(400*ms, s.mu.Unlock)
			}
		},
		"slow": func(s *loopbackTarget, at time.Duration) {
			if at > recordLength/2 && s.mu.TryLock() {
				s.latencyFactor = 5
				s.mu.Unlock()
			}
		},
	}
	for name, fault := range faults {
		if err := recordTrace(name, fault); err != nil {
			return fmt.Errorf("record %s: %w", name, err)
		}
	}
	return nil
}

func recordTrace(name string, fault func(*loopbackTarget, time.Duration)) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer listener.Close()
	target := &loopbackTarget{latencyFactor: 1}
	r := &recorder{start: time.Now()}
	var connections [recordConnections]net.Conn
	for i := range connections {
		connections[i], err = net.Dial("tcp", listener.Addr().String())
		if err != nil {
			return err
		}
		defer connections[i].Close()
		server, err := listener.Accept()
		if err != nil {
			return err
		}
		defer server.Close()
		go target.serve(server, rand.New(rand.NewPCG(1, uint64(i))))
		go func() {
			answers := bufio.NewReader(connections[i])
			for {
				if _, err := answers.ReadByte(); err != nil {
					return
				}
				r.add(detecttest.Done, detect.ID(i))
			}
		}()
		r.idle = append(r.idle, detect.ID(i))
	}
	stops := detect.ID(0)
	for at := time.Duration(0); at < recordLength; at = time.Since(r.start) {
		fault(target, at)
		if at > time.Duration(stops+1)*recordLength/10 && target.mu.TryLock() {
			target.connectionLost[stops] = true
			target.mu.Unlock()
			r.add(detecttest.Stop, stops)
			stops++
		}
		if id, ok := r.takeIdle(); ok {
			r.add(detecttest.Sent, id)
			connections[id].Write([]byte{byte(id)})
		}
		time.Sleep(recordGap)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.events, func(a, b detecttest.Event) int { return cmp.Compare(a.At, b.At) })
	file, err := os.Create(filepath.Join("testdata", "traces", name+".trace"))
	if err != nil {
		return err
	}
	defer file.Close()
	return detecttest.Encode(file, detecttest.Trace{Name: name, Events: r.events})
}

// readRecordedTraces reads the traces in testdata.
func readRecordedTraces(t testing.TB) []detecttest.Trace {
	is := is.New(t)
	paths, err := filepath.Glob("testdata/traces/*.trace")
	is.NoErr(err)
	is.True(len(paths) > 0)
	var traces []detecttest.Trace
	for _, path := range paths {
		file, err := os.Open(path)
		is.NoErr(err)
		trace, err := detecttest.Decode(file, "recorded/"+filepath.Base(path))
		is.NoErr(err)
		file.Close()
		traces = append(traces, trace)
	}
	return traces
}

// On traces recorded over real connections, the default detector finds the
// silent connections well before the maximum and suspects few others, also
// during slow periods and pauses. Only stops just before the end of a trace may
// remain undetected.
func TestDefaultOnRecordedTraces(t *testing.T) {
	is := is.New(t)
	for _, trace := range readRecordedTraces(t) {
		result := detecttest.Score(detect.ForAnswers(maxSilence), trace)
		t.Logf("%s: %d detected, p99 %v, %d undetected, longest %v, %d false suspicions of %d requests", trace.Name, len(result.Detections),
			result.Quantile(0.99), result.Undetected, result.LongestUndetected, result.FalseSuspicions, result.Sent)
		is.True(len(result.Detections) >= 5)
		is.True(result.Quantile(0.99) < maxSilence/2)
		is.True(result.LongestUndetected < maxSilence/2)
		is.True(result.FalsePerThousand() <= 2)
	}
}
