#!/bin/sh
# Usage: former-names.sh DIR. Links the deprecated names of the programs to the programs in DIR.
set -eu
cd "$1"
while read -r former name; do
    ln -sf "$name" "$former"
done <<NAMES
barleywick sidecar
barleywick-metered sidecar-metrics
barleykeeper controller
barleyctl fleetctl
barleylab testbench
adapter simadapter
NAMES
