#!/bin/bash
# Builds the stand of the second review, which holds all stand-ins that its scripts start.
# It runs after the build of the deploy file and needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/stand ./review/_stand2
