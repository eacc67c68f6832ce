package cmd

import (
	"net"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/pflag"

	"github.com/azurethread/azurethread/serve/settings"
	"github.com/azurethread/azurethread/standin/loopback"
)

// goodSettings returns settings with which azurethreadd starts.
func goodSettings(t *testing.T) []string {
	t.Helper()
	addrs, err := loopback.Free(loopback.IP(0), 3)
	if err != nil {
		t.Fatal(err)
	}
	return []string{
		"AZURETHREAD_ID=a", "AZURETHREAD_REGION=attiki", "AZURETHREAD_DOMAIN=attiki-1",
		"AZURETHREAD_CALL_ADDR=" + addrs[0], "AZURETHREAD_PEER_ADDR=" + addrs[1], "AZURETHREAD_ADMIN_ADDR=" + addrs[2],
		"AZURETHREAD_PLATFORM_URL=http://127.0.0.1:1", "AZURETHREAD_FLEET_KEY=" + testFleetKey,
	}
}

// A wrong setting, for example because of a typing error in a unit file, must
// stop the start of azurethreadd with a message that names the setting.
func TestBadSettings(t *testing.T) {
	for flag, values := range map[string][]string{
		"id":               {""},
		"region":           {""},
		"domain":           {""},
		"call-addr":        {"nowhere", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "127.0.0.1:x"},
		"peer-addr":        {"nowhere"},
		"admin-addr":       {"nowhere"},
		"call-advertise":   {"nowhere"},
		"peer-advertise":   {"nowhere"},
		"admin-advertise":  {"nowhere"},
		"platform-url":     {"", "127.0.0.1:8500", "ftp://127.0.0.1"},
		"fleet-key":        {"", "short"},
		"operators":        {"ana", "ana=xyz", "=00", "ana=" + strings.Repeat("0", 63)},
		"blocks-file":      {filepath.Join(t.TempDir(), "absent")},
		"max-body-bytes":   {"0", "-1", "x", "1MB"},
		"max-head-bytes":   {"0", "x"},
		"max-answer-bytes": {"0", "x"},
		"read-timeout":     {"0s", "-1s", "30", "soon"},
		"idle-timeout":     {"0s", "30"},
		"write-timeout":    {"0s", "30"},
		"dial-timeout":     {"0s", "30"},
		"stop-timeout":     {"-1s", "30"},
		"leave-delay":      {"-1s", "30s", "2"},
		"probe-interval":   {"0s", "1"},
		"policy":           {"best"},
		"pollers":          {"-1", "x"},
		"seed":             {"-1", "x"},
		"near-rtt":         {"0s", "1"},
		"far-rtt":          {"0s", "1"},
		"log-level":        {"loud"},
		"trace-exporter":   {"jaeger"},
		"trace-sample":     {"-0.1", "1.1", "x", "NaN"},
	} {
		for _, v := range values {
			t.Run(flag+"="+v, func(t *testing.T) {
				t.Parallel()
				env := goodSettings(t)
				name := "AZURETHREAD_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")) + "="
				env = slices.DeleteFunc(env, func(s string) bool { return strings.HasPrefix(s, name) })
				checkRefused(t, flag, env, "--"+flag+"="+v)
				if v != "" { // an empty variable counts as unset
					checkRefused(t, flag, append(env, name+v))
				}
			})
		}
	}
}

// checkRefused runs azurethreadd and asserts that it refuses one setting.
func checkRefused(t *testing.T, flag string, env []string, args ...string) {
	t.Helper()
	is := is.New(t)
	code, out, errs := runProgram(t, env, "azurethreadd", args...)
	t.Logf("%s", errs)
	is.Equal(code, 2)
	is.Equal(out, "")
	is.Equal(strings.Count(errs, "\n"), 1) // one line
	is.True(strings.Contains(errs, "--"+flag))
	is.True(!strings.Contains(errs, testFleetKey)) // no secret
}

func TestUnknownFlagsAndArguments(t *testing.T) {
	is := is.New(t)
	for _, arg := range []string{"--no-such", "argument"} {
		code, out, errs := runProgram(t, goodSettings(t), "azurethreadd", arg)
		is.Equal(code, 2)
		is.Equal(out, "")
		is.Equal(strings.Count(errs, "\n"), 1)
		is.True(strings.Contains(errs, strings.TrimLeft(arg, "-")))
	}
}

// All errors in the settings must be reported at once, each on its own line.
func TestSeveralBadSettings(t *testing.T) {
	is := is.New(t)
	code, _, errs := runProgram(t, nil, "azurethreadd")
	is.Equal(code, 2)
	lines := strings.Split(strings.TrimSpace(errs), "\n")
	is.Equal(len(lines), 5) // the required ones
	for i, flag := range []string{"id", "region", "domain", "platform-url", "fleet-key"} {
		is.True(strings.Contains(lines[i], "--"+flag))
	}
}

// An entry VM must not start if one of its ports is in use, for example by a
// second process with the same settings. Otherwise it could serve callers
// without being open to administration.
func TestAddressInUse(t *testing.T) {
	for _, flag := range []string{"call-addr", "peer-addr", "admin-addr"} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer l.Close()
		code, out, errs := runProgram(t, goodSettings(t), "azurethreadd", "--"+flag+"="+l.Addr().String())
		is.True(code != 0)
		is.Equal(out, "")
		is.True(strings.Contains(errs, "--"+flag))
	}
}

func TestHelpNamesEverySetting(t *testing.T) {
	is := is.New(t)
	code, out, errs := runProgram(t, nil, "azurethreadd", "--help")
	is.Equal(code, 0)
	is.Equal(errs, "")
	settings.Flags().VisitAll(func(f *pflag.Flag) {
		line := lineWith(out, "--"+f.Name+" ")
		is.True(line != "")
		is.True(strings.Contains(line, f.Usage))
		if f.DefValue != "" && f.DefValue != "0" {
			is.True(strings.Contains(line, strings.Trim(f.DefValue, `"`)))
		}
	})
}

// lineWith returns the line of the help that begins with a flag.
func lineWith(text, flag string) string {
	for _, l := range strings.Split(text, "\n") {
		if strings.HasPrefix(strings.TrimLeft(l, " "), flag) {
			return l
		}
	}
	return ""
}
