package config

import "time"

// Format is the version of the messages and of the content hash. Messages of
// another format are rejected: a daemon of an older release would drop fields
// that it does not know, and pass the incomplete entries on.
const Format = 1

// Numbers of readers, peers and tree children in dissemination.
const (
	// ReadersPerDomain is the number of daemons of a failure domain that watch
	// the platform in normal operation.
	ReadersPerDomain = 2
	// TreeFanOut is the number of members each member pushes a change to.
	TreeFanOut = 4
	// CrossDomainPushes is the number of other failure domains to which the root
	// of a push announces the change.
	CrossDomainPushes = 3
	// JoinPeers is the number of peers that a joining daemon asks for their
	// revision.
	JoinPeers = 5
)

// Intervals and timeouts of the protocol.
const (
	// MinPushInterval is the minimum time between two pushes of one root.
	MinPushInterval = 250 * time.Millisecond
	// HeartbeatInterval is the time between two digests that a reader sends to
	// its whole domain.
	HeartbeatInterval = 4 * time.Second
	// DigestInterval is the average time between two digests to a random peer.
	DigestInterval = 4 * time.Second
	// CrossDomainDigestInterval is the average time between two digests that a
	// reader sends to a reader of another domain.
	CrossDomainDigestInterval = 2 * time.Second
	// CrossDomainDigestEvery is the interval, in digests, at which a daemon that
	// is not a reader sends a digest to another domain instead of its own.
	CrossDomainDigestEvery = 4
	// UpdateRequestDelay is how long a daemon that learns of a change waits for
	// the push before it sends an UpdateRequest, if its domain has a reader.
	UpdateRequestDelay = 200 * time.Millisecond
	// UpdateRequestTimeout is the time without an answer after which another peer
	// is asked.
	UpdateRequestTimeout = 500 * time.Millisecond
	// JoinWait is the time after which a joining daemon installs the highest
	// content that it has received.
	JoinWait = time.Second
	// JoinDigestWait is how long a joining daemon waits for digests before it
	// requests content from the peer with the highest revision.
	JoinDigestWait = 200 * time.Millisecond
	// JoinRetry is the time between two rounds of asking peers while no
	// catalogue is in force.
	JoinRetry = time.Second
	// CutOffAfter is the age of the last confirmation above which the daemon
	// reports that it is cut off.
	CutOffAfter = 30 * time.Second
	// CatchUpTimeout is how long writes wait for the content of a known higher
	// revision that no peer supplies.
	CatchUpTimeout = 10 * time.Second
	// PauseThreshold is the time between two steps above which the process is
	// assumed to have been paused.
	PauseThreshold = 5 * time.Second
	// PauseRecovery is the time after a pause during which confirmations by
	// peers are ignored.
	PauseRecovery = time.Second
)

// Intervals and timeouts for reading the platform.
const (
	// WatchWait is how long the platform may hold a watch open.
	WatchWait = 5 * time.Second
	// ReadTimeout is the time after which a read counts as failed. A watch has
	// WatchWait in addition.
	ReadTimeout = 10 * time.Second
	// PlainReadEvery is the number of watches after which the document is
	// fetched without a watch: a watch on an index that the platform has lost
	// never returns the document.
	PlainReadEvery = 4
	// TakeoverAfter is the age of a reader's last successful read above which
	// the next member in the ranking takes over.
	TakeoverAfter = 15 * time.Second
	// TakeoverStagger is the additional wait for each further rank.
	TakeoverStagger = 2 * time.Second
	// MinReadBackoff and MaxReadBackoff bound the backoff after failed reads of
	// the first ReadersPerDomain members.
	MinReadBackoff = 500 * time.Millisecond
	MaxReadBackoff = 10 * time.Second
	// RestoreDelay is how long the platform must have returned older data before
	// the newer catalogue is written back to it.
	RestoreDelay = 5 * time.Second
)

// Bounds on what is stored and accepted.
const (
	// MaxRevision bounds revisions. Revisions may be wall-clock time in
	// milliseconds, which stays below this bound for 140,000 years.
	MaxRevision = 1 << 52
	// MaxDeltaEntries bounds the changed and removed entries of a Delta.
	MaxDeltaEntries = 512
	// MaxPushEntries bounds the entries of a Delta sent without a request.
	MaxPushEntries = 32
	// MaxPartEntries bounds the entries of one part of a Snapshot.
	MaxPartEntries = 256
	// MaxParts bounds the parts of a Snapshot.
	MaxParts = 256
	// MaxIDLen bounds the length of ids and names, in bytes.
	MaxIDLen = 256
	// MaxHistory bounds the changes kept for building deltas.
	MaxHistory = 256
	// maxAge bounds the ages stated in messages.
	maxAge = 366 * 24 * time.Hour
	// maxCandidates bounds the recorded peers with newer content.
	maxCandidates = 8
)
