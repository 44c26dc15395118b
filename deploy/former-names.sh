#!/bin/sh
# former-names.sh DIR: links the programs in DIR under their deprecated names.
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
