package block

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/azurethread/azurethread/decide/fleet"
)

// Reasons for rejecting a source or a delta. Errors returned by this package wrap
// one of them.
var (
	// ErrPrefix means that a prefix is malformed, has host bits set, or is an
	// IPv6 prefix longer than /64.
	ErrPrefix = errors.New("invalid prefix")
	// ErrConflict means that one prefix has two different homes, or that a delta
	// lists it twice.
	ErrConflict = errors.New("prefix with two different homes")
	// ErrUnknownName means that a region or failure domain is not in the Topology.
	ErrUnknownName = errors.New("unknown region or failure domain")
	// ErrSyntax means that a line or chunk cannot be decoded.
	ErrSyntax = errors.New("malformed source")
	// ErrTruncated means that a source ends early, lacks chunks, or does not
	// match the count or checksum that it states, or that a delta does not.
	ErrTruncated = errors.New("source is truncated or altered")
	// ErrTooLarge means that a source or delta exceeds the maximum number of
	// blocks or homes of a table, or that a block does not fit in a chunk.
	ErrTooLarge = errors.New("source is too large")
	// ErrBase means that a delta was made for another table.
	ErrBase = errors.New("delta does not fit this table")
)

var errTooManyHomes = fmt.Errorf("%w: more than %d distinct homes", ErrTooLarge, maxHomes)

// SourceError reports the reason for rejecting a source and the line of the fault.
type SourceError struct {
	Line int // line of a text source, or number of the block added; from 1
	Err  error
}

// Error implements error.
func (e *SourceError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the reason.
func (e *SourceError) Unwrap() error { return e.Err }

// ConflictError reports a prefix with two different homes in one source.
type ConflictError struct {
	Prefix        netip.Prefix
	Line          int // line of the second occurrence
	First         int // line of the first occurrence
	Home, Earlier Home
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("line %d: %v: %s has home %q here and %q in line %d",
		e.Line, ErrConflict, e.Prefix, homeText(e.Home), homeText(e.Earlier), e.First)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// UnknownNameError reports a name that is not in the Topology.
type UnknownNameError struct {
	Region fleet.Region
	Domain fleet.Domain // empty if the region itself is unknown
}

// Error implements error.
func (e *UnknownNameError) Error() string {
	if e.Domain == "" {
		return fmt.Sprintf("%v: region %q", ErrUnknownName, e.Region)
	}
	return fmt.Sprintf("%v: failure domain %q in region %q", ErrUnknownName, e.Domain, e.Region)
}

// Unwrap returns ErrUnknownName.
func (e *UnknownNameError) Unwrap() error { return ErrUnknownName }
