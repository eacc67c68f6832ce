package route

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/azurethread/azurethread/decide/fleet"
)

// AccountName identifies a client account.
type AccountName string

// Account is a client account. Its callers identify themselves by one of its keys.
type Account struct {
	Name AccountName
	Keys []KeyDigest
	// Priority takes precedence over that of the route if HasPriority is set; 0 is
	// the most urgent.
	Priority    int
	HasPriority bool
	Quota       Quota
	// Homes are the regions in which the account's requests may run; empty: all.
	// Where a route has homes too, both bind.
	Homes []fleet.Region
	// Disabled says that the account is invalid and its requests are refused: they
	// could otherwise run without the account's limits.
	Disabled bool
}

// Quota limits the requests of an account at all entry VMs together.
type Quota struct {
	PerSecond float64 // 0: no limit
	Burst     float64 // requests beyond the rate
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// KeyDigest is the SHA-256 digest of an account's key. Only digests are compared
// and kept: a look-up by digest takes the same time however much of a key is right.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != len(d) {
		return fmt.Errorf("route: digest of a key has %d digits", len(b))
	}
	if _, err := hex.Decode(d[:], b); err != nil {
		return errors.New("route: digest of a key is not hexadecimal")
	}
	return nil
}

// Reasons why an account is invalid.
var (
	ErrNoAccountName   = errors.New("route: account without a name")
	ErrAccountRepeated = errors.New("route: another account has the same name")
	ErrQuota           = errors.New("route: quota is not a number of 0 or more")
	ErrSharedKey       = errors.New("route: another account has the same key")
)

// DisableInvalidAccounts makes invalid accounts refuse their requests, and keys
// that several accounts hold work for none of them. It returns what is wrong. The
// other accounts and keys stay in force.
func (c *Config) DisableInvalidAccounts() []error {
	var defects []error
	names := make(map[AccountName]bool, len(c.Accounts))
	for i := range c.Accounts {
		a := &c.Accounts[i]
		if err := a.validate(names[a.Name]); err != nil {
			a.Disabled = true
			defects = append(defects, fmt.Errorf("account %q: %w", a.Name, err))
		}
		names[a.Name] = true
	}
	return append(defects, c.removeSharedKeys()...)
}

func (a *Account) validate(repeated bool) error {
	switch q := a.Quota; {
	case a.Name == "":
		return ErrNoAccountName
	case repeated:
		return ErrAccountRepeated
	case !isQuantity(q.PerSecond) || !isQuantity(q.Burst):
		return fmt.Errorf("rate %v, burst %v: %w", q.PerSecond, q.Burst, ErrQuota)
	}
	return nil
}

func isQuantity(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// removeSharedKeys removes the keys that several accounts hold: which of them a
// request belongs to is not known.
func (c *Config) removeSharedKeys() []error {
	holders := make(map[KeyDigest]int)
	shared := make(map[KeyDigest]bool)
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			if first, held := holders[k]; held && first != i {
				shared[k] = true
			}
			holders[k] = i
		}
	}
	if len(shared) == 0 {
		return nil
	}
	var defects []error
	for i := range c.Accounts {
		a := &c.Accounts[i]
		before := len(a.Keys)
		a.Keys = slices.DeleteFunc(a.Keys, func(k KeyDigest) bool { return shared[k] })
		if removed := before - len(a.Keys); removed > 0 {
			defects = append(defects, fmt.Errorf("account %q: %d keys: %w", a.Name, removed, ErrSharedKey))
		}
	}
	return defects
}

// RequiresKeys reports whether requests need the key of an account, except on
// public routes.
func (c *Config) RequiresKeys() bool { return len(c.Accounts) > 0 }

// indexAccounts fills the table's indexes of accounts.
func (t *Table) indexAccounts() {
	t.byKey = make(map[KeyDigest]*Account)
	t.byName = make(map[AccountName]*Account, len(t.Config.Accounts))
	for i := range t.Config.Accounts {
		a := &t.Config.Accounts[i]
		if _, repeated := t.byName[a.Name]; !repeated {
			t.byName[a.Name] = a
		}
		for _, k := range a.Keys {
			t.byKey[k] = a
		}
	}
}

// AccountOf returns the account that holds a key, or nil.
func (t *Table) AccountOf(k KeyDigest) *Account { return t.byKey[k] }

// Account returns the account of a name, or nil.
func (t *Table) Account(name AccountName) *Account { return t.byName[name] }

// CommonRegions returns the regions that two lists allow; an empty list allows
// all. It reports false if they have none in common.
func CommonRegions(a, b []fleet.Region) ([]fleet.Region, bool) {
	switch {
	case len(a) == 0:
		return b, true
	case len(b) == 0:
		return a, true
	}
	var both []fleet.Region
	for _, r := range a {
		if slices.Contains(b, r) {
			both = append(both, r)
		}
	}
	return both, len(both) > 0
}
