package settings

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"
	"github.com/spf13/viper"

	"github.com/azurethread/azurethread/decide/fleet"
	"github.com/azurethread/azurethread/decide/target"
	"github.com/azurethread/azurethread/serve/admin"
)

// EnvPrefix is the prefix of every environment variable's name.
const EnvPrefix = "AZURETHREAD"

// Settings are the settings of one entry VM. The usage texts in Flags describe
// each one for --help and docs/CONFIGURATION.md.
type Settings struct {
	// ID of this entry VM; it stays the same across restarts.
	ID fleet.VMID
	// Region, Domain and Site are the location of this entry VM.
	Region fleet.Region
	Domain fleet.Domain
	Site   fleet.Site
	// CallAddr, PeerAddr and AdminAddr are the addresses to listen on.
	CallAddr  string
	PeerAddr  string
	AdminAddr string
	// The addresses advertised to others; if empty, the ones listened on.
	CallAdvertise  string
	PeerAdvertise  string
	AdminAdvertise string
	// PlatformURL of the key-value service and the machine list.
	PlatformURL string
	// FleetKey authenticates frames between entry VMs and callers' tokens.
	FleetKey string
	// Operators are the operators and their token hashes, for admin.ParseOperators.
	Operators string
	// Seeds are entry VMs to contact at start, before the platform's machine
	// list has been received or while the platform is down.
	Seeds []fleet.VM
	// BlocksFile is the file with the table of client blocks; may be empty.
	BlocksFile string

	MaxBodyBytes   int
	MaxHeadBytes   int
	MaxAnswerBytes int
	ReadTimeout    time.Duration
	IdleTimeout    time.Duration
	WriteTimeout   time.Duration
	DialTimeout    time.Duration
	StopTimeout    time.Duration
	LeaveDelay     time.Duration
	ProbeInterval  time.Duration
	Policy         string
	Seed           uint64
	Pollers        int
	NearRTT        time.Duration
	FarRTT         time.Duration

	LogLevel      string
	TraceExporter string
	TraceSample   float64
}

// Flag names of the settings.
const (
	keyID             = "id"
	keyRegion         = "region"
	keyDomain         = "domain"
	keySite           = "site"
	keyCallAddr       = "call-addr"
	keyPeerAddr       = "peer-addr"
	keyAdminAddr      = "admin-addr"
	keyCallAdvertise  = "call-advertise"
	keyPeerAdvertise  = "peer-advertise"
	keyAdminAdvertise = "admin-advertise"
	keyPlatformURL    = "platform-url"
	keyFleetKey       = "fleet-key"
	keyOperators      = "operators"
	keySeeds          = "seeds"
	keyBlocksFile     = "blocks-file"
	keyMaxBody        = "max-body-bytes"
	keyMaxHead        = "max-head-bytes"
	keyMaxAnswer      = "max-answer-bytes"
	keyReadTimeout    = "read-timeout"
	keyIdleTimeout    = "idle-timeout"
	keyWriteTimeout   = "write-timeout"
	keyDialTimeout    = "dial-timeout"
	keyStopTimeout    = "stop-timeout"
	keyLeaveDelay     = "leave-delay"
	keyProbeInterval  = "probe-interval"
	keyPolicy         = "policy"
	keySeed           = "seed"
	keyPollers        = "pollers"
	keyNearRTT        = "near-rtt"
	keyFarRTT         = "far-rtt"
	keyLogLevel       = "log-level"
	keyTraceExporter  = "trace-exporter"
	keyTraceSample    = "trace-sample"
)

// Flags returns the flags of all settings with their defaults and usage texts.
func Flags() *pflag.FlagSet {
	f := pflag.NewFlagSet("azurethreadd", pflag.ContinueOnError)
	f.SortFlags = false
	f.String(keyID, "", "id of this entry VM, the same over restarts (required)")
	f.String(keyRegion, "", "region this entry VM stands in (required)")
	f.String(keyDomain, "", "failure domain this entry VM stands in (required)")
	f.String(keySite, "", "site inside the failure domain; empty: the domain's name")
	f.String(keyCallAddr, "127.0.0.1:7100", "host:port listened on for callers and forwarded requests")
	f.String(keyPeerAddr, "127.0.0.1:7101", "host:port listened on for frames between entry VMs")
	f.String(keyAdminAddr, "127.0.0.1:7102", "host:port listened on for operators")
	f.String(keyCallAdvertise, "", "host:port that callers use; empty: the one listened on")
	f.String(keyPeerAdvertise, "", "host:port that entry VMs use; empty: the one listened on")
	f.String(keyAdminAdvertise, "", "host:port that operators use; empty: the one listened on")
	f.String(keyPlatformURL, "", "base URL of the platform's key-value service and machine list (required)")
	f.String(keyFleetKey, "", "secret shared by all entry VMs, at least 32 characters; set it by environment variable (required)")
	f.String(keyOperators, "", "operators as name=sha256hex of the bearer token, separated by commas; empty: administration is read by nobody")
	f.String(keySeeds, "", "entry VMs to contact at start, also while the platform is down, as id@region/domain=host:port of the peer address, separated by commas")
	f.String(keyBlocksFile, "", "file with the table of client blocks; empty: every client belongs to this region")
	f.Int(keyMaxBody, 16<<20, "largest request body, bytes; larger ones get 413 with verdict not-run")
	f.Int(keyMaxHead, 64<<10, "largest request line and header fields together, bytes")
	f.Int(keyMaxAnswer, 32<<20, "largest body of a target's answer, bytes")
	f.Duration(keyReadTimeout, 30*time.Second, "from the first byte of a request to its last")
	f.Duration(keyIdleTimeout, 2*time.Minute, "a caller's connection without requests is closed after it")
	f.Duration(keyWriteTimeout, 30*time.Second, "for a caller to take an answer")
	f.Duration(keyDialTimeout, time.Second, "for a connection to a target or an entry VM to open")
	f.Duration(keyStopTimeout, 30*time.Second, "for requests in flight to end after SIGTERM")
	f.Duration(keyLeaveDelay, 2*time.Second, "after SIGTERM, while new requests are refused as not-run, before connections close")
	f.Duration(keyProbeInterval, time.Second, "between two reads of a target's health endpoint")
	f.String(keyPolicy, "", "target choice; empty: the default policy (the others are baselines for comparison)")
	f.Uint64(keySeed, 0, "seed of random choices; 0: from the process's start")
	f.Int(keyPollers, 0, "threads that wait for connections of callers, and as many for targets; 0: a quarter of the cores, at least 1")
	f.Duration(keyNearRTT, 3*time.Millisecond, "round trip to entry VMs of other failure domains in this region")
	f.Duration(keyFarRTT, 110*time.Millisecond, "round trip to entry VMs in other regions")
	f.String(keyLogLevel, "info", "least level logged: debug, info, warning or error")
	f.String(keyTraceExporter, "none", "where traces go: none or stdout")
	f.Float64(keyTraceSample, 0.01, "share of requests traced when the caller has not decided, 0 to 1")
	return f
}

// Load reads and checks the settings from f, which must be a parsed result of
// Flags, and from the environment.
func Load(f *pflag.FlagSet) (*Settings, error) {
	v := viper.New()
	v.SetEnvPrefix(EnvPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	if err := v.BindPFlags(f); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := reader{v: v}
	s := r.settings()
	if len(r.errs) > 0 {
		return nil, errors.Join(r.errs...)
	}
	s.fillDefaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) fillDefaults() {
	if s.Site == "" {
		s.Site = fleet.Site(s.Domain)
	}
}

// MinFleetKey is the minimum length of the fleet key, in bytes.
const MinFleetKey = 32

// Validate checks every setting and reports all invalid ones.
func (s *Settings) Validate() error {
	var c checker
	c.require(keyID, string(s.ID))
	c.require(keyRegion, string(s.Region))
	c.require(keyDomain, string(s.Domain))
	c.addr(keyCallAddr, s.CallAddr)
	c.addr(keyPeerAddr, s.PeerAddr)
	c.addr(keyAdminAddr, s.AdminAddr)
	c.optionalAddr(keyCallAdvertise, s.CallAdvertise)
	c.optionalAddr(keyPeerAdvertise, s.PeerAdvertise)
	c.optionalAddr(keyAdminAdvertise, s.AdminAdvertise)
	c.url(keyPlatformURL, s.PlatformURL)
	c.check(len(s.FleetKey) >= MinFleetKey, keyFleetKey, fmt.Sprintf("needs at least %d characters", MinFleetKey))
	_, err := admin.ParseOperators(s.Operators)
	c.checkError(keyOperators, err)
	_, err = target.ParsePolicy(s.Policy)
	c.checkError(keyPolicy, err)
	c.file(keyBlocksFile, s.BlocksFile)
	c.positive(keyMaxBody, int64(s.MaxBodyBytes))
	c.positive(keyMaxHead, int64(s.MaxHeadBytes))
	c.positive(keyMaxAnswer, int64(s.MaxAnswerBytes))
	c.positive(keyReadTimeout, int64(s.ReadTimeout))
	c.positive(keyIdleTimeout, int64(s.IdleTimeout))
	c.positive(keyWriteTimeout, int64(s.WriteTimeout))
	c.positive(keyDialTimeout, int64(s.DialTimeout))
	c.positive(keyStopTimeout, int64(s.StopTimeout))
	c.check(s.Pollers >= 0, keyPollers, "must be 0 or more")
	c.positive(keyNearRTT, int64(s.NearRTT))
	c.positive(keyFarRTT, int64(s.FarRTT))
	c.positive(keyProbeInterval, int64(s.ProbeInterval))
	delayOK := s.LeaveDelay >= 0 && (s.LeaveDelay < s.StopTimeout || s.StopTimeout <= 0)
	c.check(delayOK, keyLeaveDelay, "must be from 0 to less than --"+keyStopTimeout)
	_, err = logrus.ParseLevel(s.LogLevel)
	c.check(err == nil, keyLogLevel, fmt.Sprintf("unknown level %q", s.LogLevel))
	c.check(s.TraceExporter == "none" || s.TraceExporter == "stdout", keyTraceExporter, fmt.Sprintf("unknown exporter %q", s.TraceExporter))
	c.check(s.TraceSample >= 0 && s.TraceSample <= 1, keyTraceSample, "must be from 0 to 1")
	return errors.Join(c.errs...)
}

// checker collects the errors of invalid settings.
type checker struct{ errs []error }

func (c *checker) check(ok bool, key, msg string) {
	if !ok {
		c.errs = append(c.errs, fmt.Errorf("setting --%s: %s", key, msg))
	}
}

// checkError reports err, the error of a value's parser, if it is not nil.
func (c *checker) checkError(key string, err error) {
	if err != nil {
		c.check(false, key, err.Error())
	}
}

func (c *checker) require(key, v string) { c.check(v != "", key, "is required") }

func (c *checker) positive(key string, v int64) { c.check(v > 0, key, "must be more than 0") }

func (c *checker) addr(key, v string) {
	c.check(isAddr(v), key, fmt.Sprintf("%q is not host:port", v))
}

func isAddr(v string) bool {
	_, port, err := net.SplitHostPort(v)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// file checks that a file can be opened; an empty path is valid.
func (c *checker) file(key, path string) {
	if path == "" {
		return
	}
	f, err := os.Open(path)
	if err != nil {
		c.check(false, key, err.Error())
		return
	}
	f.Close()
}

func (c *checker) optionalAddr(key, v string) {
	if v != "" {
		c.addr(key, v)
	}
}

func (c *checker) url(key, v string) {
	u, err := url.Parse(v)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	c.check(ok, key, fmt.Sprintf("%q is not an http or https URL", v))
}
