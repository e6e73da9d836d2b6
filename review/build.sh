#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Needs nothing but the Go toolchain.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review/ .
