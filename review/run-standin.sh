#!/usr/bin/env bash
# run-standin.sh NAME FOLDER: runs one stand-in against the edges of the deploy
# file and writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case couldn't run.
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top" || exit 2
[ -x target/medlarmoor-edge ] && [ -x "review/bin/$1" ] || { echo "build the deploy file and review/build.sh first"; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
# The stand-in starts the edges; they end with it.
timeout -k 1 118 "review/bin/$1" target/medlarmoor-edge "$2"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
