#!/bin/sh
# Builds the stand-ins and drivers of the cases into review/bin. Run it after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/standins ./review/standins
