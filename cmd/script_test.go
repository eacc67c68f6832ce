// Package cmd tests the two programs as processes.
package cmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/azurethread/azurethread/decide/catalogue"
	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/serve/admin"
	"github.com/azurethread/azurethread/serve/daemon"
	"github.com/azurethread/azurethread/standin/loopback"
	"github.com/azurethread/azurethread/standin/platform"
	"github.com/azurethread/azurethread/standin/target"
)

// programsDir is the directory of the two programs, which are built once for all
// tests.
var programsDir string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "azurethread-programs-*")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programsDir = dir
	build := exec.Command("go", "build", "-o", dir, "./azurethread", "./azurethreadd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const testFleetKey = "a key for tests only, not a secret"

// The services of the scripts.
const (
	idempotent    = "calc-lookup"
	nonIdempotent = "fee-posting"
)

// fixture is the environment of a script's processes. It runs in the process of
// the test.
type fixture struct {
	platform *platform.Server
	target   *target.Server
	calls    map[string]chan outcome // requests that the script has begun
	client   *http.Client
}

// outcome is the result of a request.
type outcome struct {
	status int
	body   string
	err    error
}

type fixtureKey struct{}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup:               setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ready":     waitReady,
			"listening": assertListening,
			"http":      assertHTTPGet,
			"begin":     beginRequests,
			"code":      assertExitCode,
			"signal":    sendSignal,
			"end":       endRequests,
			"jsonlines": assertJSONLines,
			"stopping":  waitStopping,
			"accepting": waitAccepting,
		},
	})
}

// setup starts a platform and one target, and passes the settings to the
// script's processes in environment variables.
func setup(env *testscript.Env) error {
	s := &fixture{
		platform: platform.New(platform.Options{}),
		target: target.New(target.Options{
			Service: idempotent, ID: "t1", Slots: 64, Warm: true, Work: target.Work{Base: 2 * time.Second},
		}),
		calls:  make(map[string]chan outcome),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: time.Minute},
	}
	env.Values[fixtureKey{}] = s
	env.Defer(s.close)
	if err := s.start(); err != nil {
		return err
	}
	addrs, err := loopback.Free(loopback.IP(0), 3)
	if err != nil {
		return err
	}
	// The token of an operator is the operator's name.
	operators := fmt.Sprintf("ana=%s,ben=%s", admin.HashToken("ana"), admin.HashToken("ben"))
	env.Setenv("PATH", programsDir+string(os.PathListSeparator)+env.Getenv("PATH"))
	for k, v := range map[string]string{
		"ID": "entry-1", "REGION": "attiki", "DOMAIN": "attiki-1",
		"CALL_ADDR": addrs[0], "PEER_ADDR": addrs[1], "ADMIN_ADDR": addrs[2],
		"PLATFORM_URL": "http://" + s.platform.Addr(), "FLEET_KEY": testFleetKey,
		"OPERATORS": operators, "LEAVE_DELAY": "200ms", "ADDR": addrs[2],
	} {
		env.Setenv("AZURETHREAD_"+k, v)
	}
	return nil
}

func (s *fixture) start() error {
	if err := s.platform.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if err := s.target.Start("127.0.0.1:0"); err != nil {
		return err
	}
	t := s.target.Target()
	t.Region, t.Domain, t.Site = "attiki", "attiki-1", "attiki-1"
	s.platform.SetMachines(fleet.List{Version: 2, Targets: []fleet.Target{t}})
	return daemon.PutCatalogue(context.Background(), s.platform.Store(), catalogue.Catalogue{
		Revision: 1,
		Services: []catalogue.Service{
			{Name: idempotent, Idempotent: true, Priority: catalogue.Interactive, Revision: 1},
			{Name: nonIdempotent, Revision: 1},
		},
	})
}

func (s *fixture) close() {
	s.client.CloseIdleConnections()
	s.target.Close()
	s.platform.Close()
}

func fixtureOf(ts *testscript.TestScript) *fixture { return ts.Value(fixtureKey{}).(*fixture) }

// poll waits until ok returns true, and fails the script after about 30 s.
func poll(ts *testscript.TestScript, what string, ok func() bool) {
	for range 3000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("timed out waiting: %s", what)
}

func requireArgs(ts *testscript.TestScript, args []string, n int, usage string) {
	if len(args) != n {
		ts.Fatalf("usage: %s", usage)
	}
}

// waitReady waits until an entry VM has its configuration and its targets.
func waitReady(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, "ready CALL-ADDR")
	poll(ts, "entry VM ready", func() bool {
		status, _, err := fixtureOf(ts).get("http://" + args[0] + "/v1/ready")
		return err == nil && status == http.StatusOK
	})
}

// assertListening asserts that connections are accepted at an address, or with
// "!" that they are not.
func assertListening(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, "[!] listening ADDR")
	c, err := net.Dial("tcp", args[0])
	if err == nil {
		c.Close()
	}
	if (err == nil) == neg {
		ts.Fatalf("listening at %s: %t", args[0], err == nil)
	}
}

func (s *fixture) get(url string) (int, string, error) {
	res, err := s.client.Get(url)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

// assertHTTPGet asserts the status and a part of the body of an answer.
func assertHTTPGet(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 3, "http STATUS PART URL")
	status, body, err := fixtureOf(ts).get(args[2])
	ts.Check(err)
	if strconv.Itoa(status) != args[0] || !strings.Contains(body, args[1]) {
		ts.Fatalf("%s: %d %s", args[2], status, body)
	}
}

// beginRequests sends a number of requests and returns when the target has
// started to process all of them.
func beginRequests(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 2, "begin COUNT URL")
	s := fixtureOf(ts)
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	before := s.target.Stats().Started
	for i := range n {
		ch := make(chan outcome, 1)
		s.calls[strconv.Itoa(i)] = ch
		go func() {
			status, body, err := s.get(args[1])
			ch <- outcome{status, body, err}
		}()
	}
	poll(ts, "requests started at the target", func() bool { return s.target.Stats().Started >= before+uint64(n) })
}

// endRequests asserts that the requests of beginRequests have complete answers,
// or with "!" that they were cut.
func endRequests(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 0, "[!] end")
	for i, ch := range fixtureOf(ts).calls {
		o := <-ch
		if whole := o.err == nil && o.status == http.StatusOK; whole == neg {
			ts.Fatalf("request %s: %d %s %v", i, o.status, o.body, o.err)
		}
	}
}

// assertJSONLines asserts that every line of a stream is a JSON object with time,
// level and message.
func assertJSONLines(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, "jsonlines FILE")
	lines := bufio.NewScanner(strings.NewReader(ts.ReadFile(args[0])))
	n := 0
	for lines.Scan() {
		n++
		var l struct{ Time, Level, Msg string }
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil || l.Time == "" || l.Level == "" || l.Msg == "" {
			ts.Fatalf("line %d is not a log line: %q", n, lines.Text())
		}
	}
	if n == 0 {
		ts.Fatalf("%s is empty", args[0])
	}
}

// assertExitCode runs a program to its end and asserts its exit code.
func assertExitCode(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: code N PROGRAM ARG...")
	}
	got := 0
	var exited *exec.ExitError
	err := ts.Exec(args[1], args[2:]...)
	if errors.As(err, &exited) {
		got = exited.ExitCode()
	} else {
		ts.Check(err)
	}
	if strconv.Itoa(got) != args[0] {
		ts.Fatalf("exit code %d, want %s", got, args[0])
	}
}

// sendSignal sends a signal to the background process that was started last.
func sendSignal(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 2, "signal TERM|INT PROGRAM")
	all := ts.BackgroundCmds()
	if len(all) == 0 {
		ts.Fatalf("no background process")
	}
	c := all[len(all)-1]
	if filepath.Base(c.Path) != args[1] {
		ts.Fatalf("the last background process is %s", c.Path)
	}
	sig := map[string]os.Signal{"TERM": syscall.SIGTERM, "INT": syscall.SIGINT}[args[0]]
	ts.Check(c.Process.Signal(sig))
}

// waitStopping waits until an entry VM refuses new work because it is leaving.
func waitStopping(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, "stopping CALL-ADDR")
	poll(ts, "entry VM stopping", func() bool {
		_, body, err := fixtureOf(ts).get("http://" + args[0] + "/v1/ready")
		return err == nil && strings.Contains(body, `"leaving":true`)
	})
}

// waitAccepting waits until connections are accepted at an address.
func waitAccepting(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, "accepting ADDR")
	poll(ts, "accepting", func() bool {
		c, err := net.Dial("tcp", args[0])
		if err != nil {
			return false
		}
		c.Close()
		return true
	})
}

// programTimeout is much longer than a program that ends by itself takes.
const programTimeout = 20 * time.Second

// runProgram runs a program until it exits, with only the given environment
// variables.
func runProgram(t *testing.T, env []string, name string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), programTimeout)
	defer cancel()
	c := exec.CommandContext(ctx, filepath.Join(programsDir, name), args...)
	c.Env = env
	var out, errs bytes.Buffer
	c.Stdout, c.Stderr = &out, &errs
	if err := c.Run(); err != nil && c.ProcessState == nil {
		t.Fatal(err)
	}
	return c.ProcessState.ExitCode(), out.String(), errs.String()
}
