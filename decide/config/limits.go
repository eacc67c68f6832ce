package config

import "time"

// Format is the version of the messages and of the content hash. Content of
// another format is not applied: a daemon of an older release would drop the
// fields it doesn't know, and pass the loss on.
const Format = 1

// The shape of dissemination.
const (
	// ReadersPerDomain is the number of daemons of a failure domain that
	// watch the platform when all is well.
	ReadersPerDomain = 2
	// TreeFanOut is the number of members each member pushes a change to.
	TreeFanOut = 4
	// CrossDomainPushes is the number of other failure domains that the root of a
	// push announces the change to.
	CrossDomainPushes = 3
	// JoinPeers is the number of peers that a joiner asks for their revision.
	JoinPeers = 5
)

// The intervals of the protocol.
const (
	// MinPushInterval is the least time between two pushes of one root.
	MinPushInterval = 250 * time.Millisecond
	// HeartbeatInterval is the time between two digests of a reader to all of
	// its domain.
	HeartbeatInterval = 4 * time.Second
	// DigestInterval is the time between two digests to a random peer.
	DigestInterval = 4 * time.Second
	// CrossDomainDigestInterval is the time between two digests of a reader to a
	// reader of another domain.
	CrossDomainDigestInterval = 2 * time.Second
	// CrossDomainDigestEvery is how many digests of a daemon that isn't a reader
	// stay in the domain for one that leaves it.
	CrossDomainDigestEvery = 4
	// UpdateRequestDelay is how long a daemon that learns of a change waits for its push
	// before it asks, if its domain reads the platform.
	UpdateRequestDelay = 200 * time.Millisecond
	// UpdateRequestTimeout is the time after which another peer is asked.
	UpdateRequestTimeout = 500 * time.Millisecond
	// JoinWait is the time a joiner collects revisions before it settles for
	// the highest content it has got.
	JoinWait = time.Second
	// JoinDigestWait is the time a joiner waits for digests before it asks
	// the peer with the highest revision for content.
	JoinDigestWait = 200 * time.Millisecond
	// JoinRetry is the time between two rounds of asking while there is
	// nothing to serve.
	JoinRetry = time.Second
	// CutOffAfter is the age of the last confirmation beyond which the
	// daemon reports that it is cut off.
	CutOffAfter = 30 * time.Second
	// CatchUpTimeout bounds how long writes wait for the content of a revision
	// that was heard of but that nobody supplies.
	CatchUpTimeout = 10 * time.Second
	// PauseThreshold is the gap between two steps that counts as a pause of the
	// process.
	PauseThreshold = 5 * time.Second
	// PauseRecovery is the time after a pause in which confirmations of peers
	// are ignored.
	PauseRecovery = time.Second
)

// The times of reading the platform.
const (
	// WatchWait is how long the platform may hold a watch.
	WatchWait = 5 * time.Second
	// ReadTimeout is how much longer than its wait a read may take before it
	// counts as failed.
	ReadTimeout = 10 * time.Second
	// PlainReadEvery is the number of watches after which a plain read is
	// made: a watch on an index that the platform has lost never returns.
	PlainReadEvery = 4
	// TakeoverAfter is the age of a reader's last heartbeat beyond which the
	// next rank reads.
	TakeoverAfter = 15 * time.Second
	// TakeoverStagger is the additional wait for each further rank.
	TakeoverStagger = 2 * time.Second
	// MinReadBackoff and MaxReadBackoff bound the wait after failed reads of
	// the first ranks.
	MinReadBackoff = 500 * time.Millisecond
	MaxReadBackoff = 10 * time.Second
	// RestoreDelay is how long the platform must have shown older data before
	// it is asked to take the newer catalogue back.
	RestoreDelay = 5 * time.Second
)

// The bounds on what is kept and accepted.
const (
	// MaxRevision bounds revisions. They may follow the milliseconds of the
	// wall clock, which stay below it for 140,000 years.
	MaxRevision = 1 << 52
	// MaxDeltaEntries bounds the entries, changed and removed, of a Delta.
	MaxDeltaEntries = 512
	// MaxPushEntries bounds the entries of a Delta that is pushed unasked.
	MaxPushEntries = 32
	// MaxPartEntries bounds the entries of one part of a Snapshot.
	MaxPartEntries = 256
	// MaxParts bounds the parts of a Snapshot.
	MaxParts = 256
	// MaxIDLen bounds the length of ids and names, in bytes.
	MaxIDLen = 256
	// MaxHistory bounds the changes kept for making deltas.
	MaxHistory = 256
	// maxAge bounds the ages that messages may state.
	maxAge = 366 * 24 * time.Hour
	// maxCandidates bounds the peers remembered as holding more.
	maxCandidates = 8
)
