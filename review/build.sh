#!/bin/sh
# Builds the stand-ins of the review.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/stand ./review/stand
