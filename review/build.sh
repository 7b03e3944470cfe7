#!/bin/sh
# Builds every stand-in of the cases. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/bed
