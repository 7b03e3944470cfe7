#!/bin/sh
# Builds the stand-ins of the third review's scripts. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o review/bed-3/bin/bed ./review/bed-3
