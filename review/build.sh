#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/_stand
