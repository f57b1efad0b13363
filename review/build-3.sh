#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. The sidecar itself is built by the
# command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/stand ./review/_stand3
