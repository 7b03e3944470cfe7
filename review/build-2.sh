#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/bed-2
