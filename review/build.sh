#!/bin/sh
# Builds the stand-ins of the cases. Needs Go only: they use the standard library alone.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/standin .
