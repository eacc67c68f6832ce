package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"github.com/azurethread/azurethread/decide/change"
)

// Operators holds the names of the operators and the hashes of their tokens.
type Operators struct {
	list []operator
}

type operator struct {
	name string
	hash [sha256.Size]byte
}

// ParseOperators parses "name=sha256hex,name=sha256hex". An empty text grants no
// access. Errors name the position and the operator, but never the hash.
func ParseOperators(text string) (Operators, error) {
	var o Operators
	if strings.TrimSpace(text) == "" {
		return o, nil
	}
	for i, part := range strings.Split(text, ",") {
		op, err := parseOperator(strings.TrimSpace(part))
		if err != nil {
			return Operators{}, fmt.Errorf("operator %d: %w", i+1, err)
		}
		if o.has(op.name) {
			return Operators{}, fmt.Errorf("operator %d: %q appears more than once", i+1, op.name)
		}
		o.list = append(o.list, op)
	}
	return o, nil
}

func parseOperator(part string) (operator, error) {
	name, digest, ok := strings.Cut(part, "=")
	if !ok || name == "" || len(name) > change.MaxNameLen {
		return operator{}, fmt.Errorf("want name=sha256hex, with a name of at most %d characters", change.MaxNameLen)
	}
	if name == change.RunnerName {
		return operator{}, fmt.Errorf("the name %q is reserved for the shift runner", name)
	}
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != sha256.Size {
		return operator{}, fmt.Errorf("%q: the hash must be %d hexadecimal digits", name, 2*sha256.Size)
	}
	op := operator{name: name}
	copy(op.hash[:], raw)
	return op, nil
}

func (o Operators) has(name string) bool {
	for _, op := range o.list {
		if op.name == name {
			return true
		}
	}
	return false
}

// HashToken returns the hash of a token as it is written in the settings.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// authenticate returns the operator whose token r carries. It always compares all
// hashes, so that its duration does not reveal which one matched.
func (o Operators) authenticate(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i := range o.list {
		same := subtle.ConstantTimeCompare(sum[:], o.list[i].hash[:])
		found = subtle.ConstantTimeSelect(same, i, found)
	}
	if found < 0 {
		return "", false
	}
	return o.list[found].name, true
}
