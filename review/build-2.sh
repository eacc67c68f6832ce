#!/bin/sh
# Builds the stand-ins of the cases into target/review/. Their sources end in .go.txt, as they
# hold names of the platform, and are built from a copy in a temporary folder.
set -eu
cd "$(dirname "$0")/.."
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
for f in review/standins-2/*.txt; do
    cp "$f" "$tmp/$(basename "$f" .txt)"
done
mkdir -p target/review
out=$PWD/target/review/standins
cd "$tmp"
GOWORK=off GOFLAGS= GOPROXY=off go build -o "$out" .
