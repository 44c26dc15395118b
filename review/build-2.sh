#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
go build -tags review -o bin/review-2/ ./review/standins-2/...
