#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cd review/rig-2
GOFLAGS= GOWORK=off go build -buildvcs=false -o ../../target/review-2/rig .
