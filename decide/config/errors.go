package config

import "errors"

var (
	// errFormat means that a message is of another release's format.
	errFormat = errors.New("config: unknown message format")
	// errHash means that content put together has another hash than stated.
	errHash = errors.New("config: content hash mismatch")
)
