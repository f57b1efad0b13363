#!/usr/bin/env bash
# Checks the models in this directory exhaustively within their bounds, then
# checks that each seeded fault is found. Exits non-zero if a model fails, a
# fault is missed or a search is incomplete.
set -euo pipefail
cd "$(dirname "$0")"
specs=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify MODEL FLAGS... prints the number of errors and of states.
verify() {
  local model=$1 dir
  shift
  dir=$(mktemp -d -p "$work")
  cd "$dir"
  spin -a "$@" "$specs/$model.pml" >/dev/null
  gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=6000 -o pan pan.c
  ./pan -m1000000 -w24 >out 2>&1 || true
  if grep -q 'max search depth too small\|reached -DMEMLIM' out; then
    echo "incomplete 0"
    return
  fi
  echo "$(sed -n 's/.*errors: \([0-9]*\)/\1/p' out) $(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' out)"
}

passed=0 failed=0
# check ERRORS MODEL FLAGS... compares the number of errors with the expected one.
check() {
  local want=$1 errors states verdict=ok
  shift
  read -r errors states < <(verify "$@")
  if [ "$errors" = "$want" ]; then passed=$((passed + 1)); else failed=$((failed + 1)) verdict=UNEXPECTED; fi
  printf '%-46s errors %-10s states %-10s %s\n' "$*" "$errors" "$states" "$verdict"
}

check 0 publication
for fault in NO_CAS EARLY_CONFLICT NO_FLOOR NO_NONCE NO_CLOSURE; do
  check 1 publication "-D$fault"
done
check 0 moves
for fault in NO_FENCE NO_STEP_CHECK NO_STEP_ORDER; do
  check 1 moves "-D$fault"
done
check 0 quota
for fault in NO_RESERVATION NO_SEQUENCE NO_TERM NO_WAIT; do
  check 1 quota "-D$fault"
done
# Each search has the smallest bounds that reach the faults it stands for.
check 0 claims -DEPOCHS=3 -DRESTARTS=0
check 0 claims -DEPOCHS=2 -DRESTARTS=1
for fault in NO_WAIT NO_EPOCH RETRY_MAY_HAVE_RUN JOINING_IS_FULL; do
  check 1 claims -DEPOCHS=3 -DRESTARTS=0 "-D$fault"
done
for fault in NO_SINCE NO_EVIDENCE; do
  check 1 claims -DEPOCHS=2 -DRESTARTS=1 "-D$fault"
done
check 1 claims -DEPOCHS=3 -DRESTARTS=0 -DTICKETS=3 -DNO_EPOCH_ORDER
echo "model check: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
