package command_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"github.com/spf13/cobra"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/operate/command"
	"github.com/azurethread/azurethread/serve/admin"
	"github.com/azurethread/azurethread/serve/admin/admintest"
)

// session runs command lines against the API of one entry VM, in a temporary
// directory.
type session struct {
	t   *testing.T
	mem *admintest.Memory
	url string
	dir string
}

type discardAuditor struct{}

func (discardAuditor) Audit(admin.Record) {}

func newSession(t *testing.T) *session {
	s := &session{t: t, mem: admintest.New(), dir: t.TempDir()}
	ops, err := admin.ParseOperators("ana=" + admin.HashToken("ana") + ",ben=" + admin.HashToken("ben"))
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(admin.Prefix, admin.New(admin.Config{
		Changer: s.mem, OutcomeFinder: s.mem, Viewer: s.mem, Operators: ops, Auditor: discardAuditor{},
		NewOperationID: func() string { return "none" },
	}))
	mux.HandleFunc("/v1/lookup", func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("service") != "calc-lookup" {
			w.WriteHeader(http.StatusNotFound)
			fmt.Fprint(w, `{"verdict":"not-run","reason":"unknown-service","message":"The catalogue holds no such service."}`)
			return
		}
		fmt.Fprint(w, `{"service":"calc-lookup","revision":3,"ttl_ms":2000,"home":"attiki","region":"kriti","shift":"march",`+
			`"entry_vms":[{"id":"entry-5","addr":"127.0.0.5:7100","region":"kriti","domain":"kriti-1"}]}`)
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	s.url = srv.URL
	return s
}

// run executes one command line as an operator, and returns its output.
func (s *session) run(operator, line string, in string) (code int, stdout, stderr string) {
	s.t.Helper()
	root := command.New("test", &cobra.Command{Use: "extra", RunE: func(*cobra.Command, []string) error { return nil }})
	var out, errs bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&errs)
	root.SetIn(strings.NewReader(in))
	args := strings.Fields(strings.ReplaceAll(line, "DIR", s.dir))
	if !strings.Contains(line, "--addr") {
		args = append([]string{"--addr", s.url}, args...)
	}
	args = append([]string{"--call-addr", s.url}, args...)
	if operator != "" {
		args = append([]string{"--token", operator}, args...)
	}
	root.SetArgs(args)
	code = command.Execute(context.Background(), root)
	return code, s.mask(out.String()), s.mask(errs.String())
}

var (
	uuidText = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)
	padding  = regexp.MustCompile(` +\n`)
)

// mask replaces the parts of an output that differ between runs.
func (s *session) mask(text string) string {
	text = strings.ReplaceAll(text, s.dir+"/", "")
	text = strings.ReplaceAll(text, s.url, "ENTRY-VM")
	text = uuidText.ReplaceAllString(text, "OPERATION")
	return padding.ReplaceAllString(text, "\n")
}

// TestSessions runs the golden sessions under testdata.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := newSession(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.runStep(t, d)
		})
	})
}

func (s *session) runStep(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "file":
		name := d.CmdArgs[0].Key
		if err := os.WriteFile(filepath.Join(s.dir, name), []byte(d.Input), 0o600); err != nil {
			t.Fatal(err)
		}
		return ""
	case "switch":
		s.mem.Update(func(m *admintest.Memory) {
			m.PlatformDown, m.LoseAnswers, m.FailOutcomes = d.HasArg("down"), d.HasArg("lose"), d.HasArg("silent")
			m.Lagging = nil
			if d.HasArg("lagging") {
				m.Lagging = []fleet.VMID{"entry-3"}
			}
		})
		return ""
	}
	code, out, errs := s.run(d.Cmd, d.Input, "")
	return fmt.Sprintf("%s%sexit %d", out, errs, code)
}

// A misspelt command, a missing argument or a bad setting must end with a usage
// error. Cobra treats some of these as a request for help and exits with 0, so
// that a script would continue after a command that did nothing.
func TestUsageErrors(t *testing.T) {
	s := newSession(t)
	t.Setenv("AZURETHREAD_WAIT", "soon")
	for line, want := range map[string]string{
		"--wait 1s":                            "needs a command",
		"catalog list --wait 1s":               `no command "catalog"`,
		"catalogue --wait 1s":                  "needs a command",
		"catalogue lst --wait 1s":              `no command "lst"`,
		"catalogue show":                       "accepts 1 arg(s)",
		"catalogue list extra":                 "accepts 0 arg(s)",
		"status --no-such-flag":                "unknown flag",
		"status":                               "AZURETHREAD_WAIT",
		"status --wait 1s --output xml":        "output:",
		"status --wait 1s --timeout 0s":        "timeout:",
		"status --wait 1s --addr nowhere":      "addr:",
		"watch --wait 1s --interval 0s":        "interval:",
		"catalogue add --wait 1s":              "file:",
		"catalogue add --wait 1s -f DIR/no":    "file:",
		"check --wait 1s DIR/absent.yaml":      "file:",
		"lookup --wait 1s --call-addr x a b":   "call-addr:",
		"status --wait 1s --token= --output=x": "output:",
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			code, out, errs := s.run("ana", line, "")
			is.Equal(code, command.ExitUsage)
			is.Equal(out, "")
			if !strings.Contains(errs, want) || strings.Count(errs, "\n") != 1 {
				t.Errorf("want one line with %q, got %q", want, errs)
			}
		})
	}
}

func TestSettingsFromEnvironment(t *testing.T) {
	is := is.New(t)
	s := newSession(t)
	code, _, errs := s.run("", "status", "")
	is.Equal(code, command.ExitUsage)
	is.True(strings.Contains(errs, "AZURETHREAD_TOKEN"))
	t.Setenv("AZURETHREAD_TOKEN", "ana")
	t.Setenv("AZURETHREAD_OUTPUT", "json")
	code, out, _ := s.run("", "status", "")
	is.Equal(code, command.ExitOK)
	is.True(strings.HasPrefix(out, `{"vm":"entry-1"`))
	code, out, _ = s.run("", "check -", "services: [{name: a}]")
	is.Equal(code, command.ExitOK)
	is.Equal(out, `{"file":"-","services":1,"shifts":0}`+"\n")
}

func TestExtraCommandsAndCompletion(t *testing.T) {
	is := is.New(t)
	s := newSession(t)
	code, _, _ := s.run("ana", "extra", "")
	is.Equal(code, command.ExitOK)
	code, out, _ := s.run("ana", "completion bash", "")
	is.Equal(code, command.ExitOK)
	is.True(strings.Contains(out, "azurethread"))
}

// TestWatch checks that watch prints the status and exits with 0 when it is
// interrupted.
func TestWatch(t *testing.T) {
	is := is.New(t)
	s := newSession(t)
	root := command.New("test")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The first print interrupts the watch.
	out := writerFunc(func(b []byte) (int, error) {
		is.True(strings.HasPrefix(string(b), `{"revision":0,"changed":false,"status":{"vm":"entry-1"`))
		cancel()
		return len(b), nil
	})
	root.SetOut(out)
	root.SetArgs([]string{"watch", "--addr", s.url, "--token", "ana", "--output", "json", "--interval", "10ms"})
	is.Equal(command.Execute(ctx, root), command.ExitOK)
	is.True(ctx.Err() != nil)
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// When the entry VM reads a request and the connection ends without an answer,
// the change may have been made, so the command must not report that it was
// not. Only a failed dial proves that nothing was sent.
func TestCutAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	s := newSession(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.SetReadDeadline(time.Now().Add(time.Second))
			c.Read(make([]byte, 4096))
			c.Close()
		}
	}()
	code, _, errs := s.run("ana", "catalogue pause march --wait 0s --addr "+ln.Addr().String(), "")
	is.Equal(code, command.ExitUnknown)
	is.True(strings.Contains(errs, "azurethread operation OPERATION"))

	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	free.Close()
	code, _, _ = s.run("ana", "catalogue pause march --wait 0s --addr "+free.Addr().String(), "")
	is.Equal(code, command.ExitUnreachable)
}
