#!/bin/sh
# Builds the stand-ins of the second review (cases 6 to 10): one program, which is the client,
# the operator, the platform and the runner.
set -eu
cd "$(dirname "$0")/.."
go test -c -o target/review-2 ./review/stand2
