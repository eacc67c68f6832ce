package route

import (
	"errors"
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Guards against limits that an invalid value removes, and against a key that runs
// requests for one of two accounts at random. The other accounts stay in force.
func TestDisableInvalidAccounts(t *testing.T) {
	for name, c := range map[string]struct {
		change func(a *Account)
		want   error
	}{
		"valid":         {func(*Account) {}, nil},
		"no name":       {func(a *Account) { a.Name = "" }, ErrNoAccountName},
		"same name":     {func(a *Account) { a.Name = "good" }, ErrAccountRepeated},
		"negative rate": {func(a *Account) { a.Quota.PerSecond = -1 }, ErrQuota},
		"no number":     {func(a *Account) { a.Quota.PerSecond = math.NaN() }, ErrQuota},
		"infinite":      {func(a *Account) { a.Quota.Burst = math.Inf(1) }, ErrQuota},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := Account{Name: "a", Keys: []KeyDigest{DigestKey("ka")}}
			c.change(&a)
			cfg := &Config{Accounts: []Account{{Name: "good", Keys: []KeyDigest{DigestKey("kg")}}, a}}
			defects := cfg.DisableInvalidAccounts()
			is.True(errors.Is(errors.Join(defects...), c.want))
			table := NewTable(cfg)
			is.Equal(table.AccountOf(DigestKey("ka")).Disabled, c.want != nil)
			is.True(!table.AccountOf(DigestKey("kg")).Disabled)
		})
	}
}

// Guards against a key that two accounts hold, which would run requests of one
// under the name of the other.
func TestSharedKeyWorksForNoAccount(t *testing.T) {
	is := is.New(t)
	shared, own := DigestKey("shared"), DigestKey("own")
	cfg := &Config{Accounts: []Account{
		{Name: "a", Keys: []KeyDigest{shared, own}}, {Name: "b", Keys: []KeyDigest{shared}}, {Name: "c", Keys: []KeyDigest{shared, shared}},
	}}
	defects := cfg.DisableInvalidAccounts()
	is.Equal(len(defects), 3)
	is.True(errors.Is(defects[0], ErrSharedKey))
	table := NewTable(cfg)
	is.True(table.AccountOf(shared) == nil)
	is.Equal(table.AccountOf(own).Name, AccountName("a"))
}

func TestCommonRegions(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		a, b, want []fleet.Region
		ok         bool
	}{
		{nil, nil, nil, true},
		{[]fleet.Region{"x"}, nil, []fleet.Region{"x"}, true},
		{nil, []fleet.Region{"y"}, []fleet.Region{"y"}, true},
		{[]fleet.Region{"x", "y"}, []fleet.Region{"y", "z"}, []fleet.Region{"y"}, true},
		{[]fleet.Region{"x"}, []fleet.Region{"y"}, nil, false},
	} {
		got, ok := CommonRegions(c.a, c.b)
		is.Equal(got, c.want)
		is.Equal(ok, c.ok)
	}
}
