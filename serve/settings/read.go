package settings

import (
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/viper"

	"github.com/azurethread/azurethread/decide/fleet"
)

// reader reads typed values from viper and collects errors. Viper's own typed
// getters silently return zero for a value of the wrong type, such as a duration
// without a unit.
type reader struct {
	v    *viper.Viper
	errs []error
}

func (r *reader) fail(key, value, want string) {
	r.errs = append(r.errs, fmt.Errorf("setting --%s: %q is not %s", key, value, want))
}

func (r *reader) text(key string) string { return r.v.GetString(key) }

func (r *reader) integer(key string) int {
	t := r.text(key)
	n, err := strconv.Atoi(t)
	if err != nil {
		r.fail(key, t, "a whole number")
	}
	return n
}

func (r *reader) unsigned(key string) uint64 {
	t := r.text(key)
	n, err := strconv.ParseUint(t, 10, 64)
	if err != nil {
		r.fail(key, t, "a whole number of 0 or more")
	}
	return n
}

func (r *reader) float(key string) float64 {
	t := r.text(key)
	n, err := strconv.ParseFloat(t, 64)
	if err != nil {
		r.fail(key, t, "a number")
	}
	return n
}

func (r *reader) duration(key string) time.Duration {
	t := r.text(key)
	d, err := time.ParseDuration(t)
	if err != nil {
		r.fail(key, t, `a duration such as "30s"`)
	}
	return d
}

func (r *reader) seeds(key string) []fleet.VM {
	vms, err := ParseSeeds(r.text(key))
	if err != nil {
		r.errs = append(r.errs, fmt.Errorf("setting --%s: %w", key, err))
	}
	return vms
}

func (r *reader) settings() *Settings {
	return &Settings{
		ID:             fleet.VMID(r.text(keyID)),
		Region:         fleet.Region(r.text(keyRegion)),
		Domain:         fleet.Domain(r.text(keyDomain)),
		Site:           fleet.Site(r.text(keySite)),
		CallAddr:       r.text(keyCallAddr),
		PeerAddr:       r.text(keyPeerAddr),
		AdminAddr:      r.text(keyAdminAddr),
		CallAdvertise:  r.text(keyCallAdvertise),
		PeerAdvertise:  r.text(keyPeerAdvertise),
		AdminAdvertise: r.text(keyAdminAdvertise),
		PlatformURL:    r.text(keyPlatformURL),
		FleetKey:       r.text(keyFleetKey),
		Operators:      r.text(keyOperators),
		Seeds:          r.seeds(keySeeds),
		BlocksFile:     r.text(keyBlocksFile),
		MaxBodyBytes:   r.integer(keyMaxBody),
		MaxHeadBytes:   r.integer(keyMaxHead),
		MaxAnswerBytes: r.integer(keyMaxAnswer),
		ReadTimeout:    r.duration(keyReadTimeout),
		IdleTimeout:    r.duration(keyIdleTimeout),
		WriteTimeout:   r.duration(keyWriteTimeout),
		DialTimeout:    r.duration(keyDialTimeout),
		StopTimeout:    r.duration(keyStopTimeout),
		LeaveDelay:     r.duration(keyLeaveDelay),
		ProbeInterval:  r.duration(keyProbeInterval),
		Policy:         r.text(keyPolicy),
		Seed:           r.unsigned(keySeed),
		Pollers:        r.integer(keyPollers),
		NearRTT:        r.duration(keyNearRTT),
		FarRTT:         r.duration(keyFarRTT),
		LogLevel:       r.text(keyLogLevel),
		TraceExporter:  r.text(keyTraceExporter),
		TraceSample:    r.float(keyTraceSample),
	}
}
