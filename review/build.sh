#!/bin/sh
# Builds the stand-ins of the review: a test binary that runs no test, but the case that
# its environment names.
set -eu
cd "$(dirname "$0")/.."
go test -c -o target/review/stand ./review/stand
