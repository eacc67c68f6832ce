#!/bin/sh
# run-case.sh CASE FOLDER: runs a case of the stand-in program, and ends the processes that
# it has started even if it is killed.
cd "$(dirname "$0")/.." || exit 2
[ -x review/bin/standin ] && [ -x target/azurethreadd ] || { echo "build the deploy file and run review/build.sh first"; exit 2; }
REVIEW_PIDS=$(mktemp -u)
export REVIEW_PIDS
trap 'if [ -f "$REVIEW_PIDS" ]; then for p in $(cat "$REVIEW_PIDS"); do kill -9 "$p" 2>/dev/null; done; rm -f "$REVIEW_PIDS"; fi' EXIT
trap 'exit 2' INT TERM
review/bin/standin "$1" "$2"
exit $?
