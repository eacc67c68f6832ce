package target_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/standin/payload"
	"github.com/azurethread/azurethread/standin/target"
)

// forever is longer than any test: a request with this service time ends only
// through its context or a crash.
const forever = time.Hour

func start(is *is.I, o target.Options) *target.Server {
	is.Helper()
	s := target.New(o)
	is.NoErr(s.Start("127.0.0.1:0"))
	return s
}

// client returns a client with its own connection pool, so that no idle
// connection is reused between calls.
func client() *http.Client { return &http.Client{Transport: &http.Transport{}} }

func send(ctx context.Context, c *http.Client, s *target.Server, id string, header http.Header) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr()+"/x", strings.NewReader("body of "+id))
	if err != nil {
		return nil, err
	}
	for k, v := range header {
		r.Header[k] = v
	}
	r.Header.Set(payload.IDHeader, id)
	return c.Do(r)
}

// waitFor polls the target's counts, which change asynchronously.
func waitFor(s *target.Server, ready func(target.Stats) bool) {
	for !ready(s.Stats()) {
		time.Sleep(time.Millisecond)
	}
}

func started(n uint64) func(target.Stats) bool {
	return func(st target.Stats) bool { return st.Started == n }
}

func TestAnswerIsCompleteAndMatchesRequest(t *testing.T) {
	is := is.New(t)
	s := start(is, target.Options{Slots: 2})
	defer s.Close()
	for _, chunked := range []bool{false, true} {
		h := http.Header{payload.SizeHeader: {"100000"}}
		if chunked {
			h.Set(payload.ChunkedHeader, "yes")
		}
		resp, err := send(context.Background(), client(), s, "a", h)
		is.NoErr(err)
		is.Equal(resp.ContentLength == -1, chunked)
		is.Equal(resp.Header.Get(payload.HashHeader), payload.HashOf([]byte("body of a")))
		is.NoErr(payload.Check(resp.Body, "a", 100000))
		resp.Body.Close()
	}
	is.Equal(s.Executions()["a"], 2)
}

func TestRefusesRequestsBeyondSlotsAndQueue(t *testing.T) {
	is := is.New(t)
	s := start(is, target.Options{Slots: 1, Queue: 1, Work: target.Work{Base: forever}})
	defer s.Close()
	var cancels [2]context.CancelFunc
	ended := make(chan error, 2)
	for i := range cancels {
		var ctx context.Context
		ctx, cancels[i] = context.WithCancel(context.Background())
		go func() {
			_, err := send(ctx, client(), s, strconv.Itoa(i), nil)
			ended <- err
		}()
		waitFor(s, func(st target.Stats) bool { return st.Arrived == uint64(i+1) && st.Started == 1 })
	}
	resp, err := send(context.Background(), client(), s, "third", nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(payload.RefusedHeader), payload.RefusedNotRun)
	is.Equal(resp.Header.Get(payload.LoadHeader), "2/1")
	is.Equal(s.Executions()["third"], 0)

	for i := range cancels { // cancel the queued one first, or it would get the slot
		cancels[len(cancels)-1-i]()
		is.True(<-ended != nil)
		waitFor(s, func(st target.Stats) bool { return st.Cancelled == uint64(i+1) })
	}
	st := s.Stats()
	is.Equal(st.PeakInFlight, 2)
	is.Equal(st.Shed, uint64(1))
	is.Equal(st.ArrivedAtCapacity, uint64(2))
	is.Equal(len(s.Executions()), 1) // the queued request never ran
}

func TestDeadlineEndsExecution(t *testing.T) {
	is := is.New(t)
	s := start(is, target.Options{Slots: 1, Work: target.Work{Base: forever}})
	defer s.Close()
	resp, err := send(context.Background(), client(), s, "a", http.Header{payload.DeadlineHeader: {"20"}})
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.Equal(resp.Header.Get(payload.RefusedHeader), "")
	is.Equal(s.Executions()["a"], 1)
	resp, err = send(context.Background(), client(), s, "late", http.Header{payload.DeadlineHeader: {"0"}})
	is.NoErr(err)
	is.Equal(resp.Header.Get(payload.RefusedHeader), payload.RefusedNotRun)
	is.Equal(s.Executions()["late"], 0)
}

func TestLeaveRefusesNewAndFinishesAcceptedRequests(t *testing.T) {
	is := is.New(t)
	s := start(is, target.Options{Slots: 1, Work: target.Work{Base: 50 * time.Millisecond}})
	defer s.Close()
	answered := make(chan error, 1)
	go func() {
		resp, err := send(context.Background(), client(), s, "in flight", nil)
		if err == nil {
			err = payload.Check(resp.Body, "in flight", payload.DefaultSize)
		}
		answered <- err
	}()
	waitFor(s, started(1))
	s.Leave()
	resp, err := send(context.Background(), client(), s, "new", nil)
	is.NoErr(err)
	is.Equal(resp.Header.Get(payload.RefusedHeader), payload.RefusedNotRun)
	is.NoErr(<-answered)
	_, err = s.WaitDrained(context.Background())
	is.NoErr(err)
	health, err := client().Get("http://" + s.Addr() + "/healthz")
	is.NoErr(err)
	is.Equal(health.StatusCode, http.StatusServiceUnavailable)
	is.Equal(s.Stats().CutByShutdown, uint64(0))
	is.Equal(s.Stats().RefusedLeaving, uint64(1))
}

func TestCrashCutsRequestsAndRestartServesAgain(t *testing.T) {
	is := is.New(t)
	s := start(is, target.Options{Slots: 1, Work: target.Work{Base: forever}})
	defer s.Close()
	cut := make(chan error, 1)
	go func() {
		_, err := send(context.Background(), client(), s, "a", nil)
		cut <- err
	}()
	waitFor(s, started(1))
	s.Crash()
	is.True(<-cut != nil)
	is.Equal(s.Stats().CutByShutdown, uint64(1))
	_, err := send(context.Background(), client(), s, "b", nil)
	is.True(err != nil)
	s.SetWork(target.Work{})
	is.NoErr(s.Restart())
	_, err = send(context.Background(), client(), s, "b", nil)
	is.NoErr(err)
}

// Requests on an existing connection get no answer, while new connections work.
// This happens when a firewall on the path drops the state of the old
// connection.
func TestSilentConnectionDropsData(t *testing.T) {
	is := is.New(t)
	s := start(is, target.Options{Slots: 4})
	defer s.Close()
	old := client()
	resp, err := send(context.Background(), old, s, "first", nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(s.SilenceConnections(-1), 1)

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = send(ctx, old, s, "lost", nil)
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(s.Executions()["lost"], 0)
	_, err = send(context.Background(), client(), s, "new", nil)
	is.NoErr(err)
}

func TestCutAnswersEndHalfWay(t *testing.T) {
	is := is.New(t)
	s := start(is, target.Options{Slots: 1})
	defer s.Close()
	for _, h := range []http.Header{{}, {payload.ChunkedHeader: {"yes"}}} {
		s.CutAnswers(1)
		resp, err := send(context.Background(), client(), s, "a", h)
		is.NoErr(err)
		n, err := io.Copy(io.Discard, resp.Body)
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
		is.Equal(n, int64(payload.DefaultSize/2))
	}
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s := start(is, target.Options{Slots: 4, Connections: 1})
	defer s.Close()
	_, err := send(context.Background(), client(), s, "a", nil)
	is.NoErr(err)
	_, err = send(context.Background(), client(), s, "b", nil)
	is.True(err != nil)
	is.Equal(s.Stats().PeakConnections, 1)
	is.Equal(s.Stats().ConnectionsRefused, uint64(1))
}

func load(is *is.I, s *target.Server) target.Load {
	is.Helper()
	resp, err := client().Get("http://" + s.Addr() + "/loadz")
	is.NoErr(err)
	var l target.Load
	is.NoErr(json.NewDecoder(resp.Body).Decode(&l))
	resp.Body.Close()
	return l
}

func TestLoadEndpointReportsLaggedAndFalseLoad(t *testing.T) {
	is := is.New(t)
	s := start(is, target.Options{Slots: 1, Queue: 1, Work: target.Work{Base: forever}})
	defer s.Close()
	s.SetReportLag(forever)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = send(ctx, client(), s, "a", nil)
	}()
	waitFor(s, started(1))
	is.Equal(load(is, s), target.Load{Slots: 1})
	s.SetReportLag(0)
	is.Equal(load(is, s), target.Load{Slots: 1, InFlight: 1})
	s.SetLoadReport(func(l target.Load) target.Load {
		l.InFlight = 0
		return l
	})
	is.Equal(load(is, s), target.Load{Slots: 1})
	cancel()
	<-ended
}
