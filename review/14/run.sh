#!/usr/bin/env bash
# Needs the build of the deploy file and review/build-3.sh. Exits with 1 if the rule was broken,
# with 0 if it held and with 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-3/stand ] && [ -x target/chicory-sidecar ] || { echo "not built"; exit 2; }
exec target/review-3/stand -program target/chicory-sidecar -record "$here/record.txt" false-health
