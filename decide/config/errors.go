package config

import "errors"

var (
	// errFormat means that a message has the format of another release.
	errFormat = errors.New("config: unknown message format")
	// errHash means that the hash of content assembled from a Delta or Snapshot
	// differs from the hash stated in the message.
	errHash = errors.New("config: content hash mismatch")
)
