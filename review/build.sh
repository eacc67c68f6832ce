#!/bin/sh
# Builds the stand-ins of the cases into review/bin. Needs Go only: they use the standard
# library alone.
#
# Their sources end in .txt: the stand-ins speak the platform's protocol, and a test of the
# product (TestPlatformNamesStayInPlatform) reads every .go file of the repository to keep the
# platform's names out of the product's own code.
set -e
cd "$(dirname "$0")"
src=$(mktemp -d)
trap 'rm -rf "$src"' EXIT
for f in standin/*.txt; do
	cp "$f" "$src/$(basename "$f" .txt)"
done
mkdir -p bin
out=$(pwd)/bin/standin
cd "$src"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -trimpath -o "$out" .
