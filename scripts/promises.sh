#!/usr/bin/env bash
# Checks every promise in docs/PROMISES.md and prints a row for each: runs the
# tests that cause the failures which the promise covers, and the mutations that
# show that these tests fail without the mechanism.
#
#   [MUTATIONS=0] scripts/promises.sh
#
# MUTATIONS=0 leaves the mutations out.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0
total=0

# prove NUMBER "PROMISE" "PACKAGE TESTS;PACKAGE TESTS" "MUTATIONS"
# TESTS is a pattern of go test -run; MUTATIONS are names for scripts/mutations.sh.
prove() {
  local number=$1 promise=$2 test_sets=$3 mutations=$4 verdict=holds
  total=$((total + 1))
  IFS=';' read -ra list <<<"$test_sets"
  for test_set in "${list[@]}"; do
    read -r package tests <<<"$test_set"
    go test -count=1 "$package" -run "$tests" >/tmp/promise.$$ 2>&1 || verdict="FAILS: $package $tests"
    grep -q 'no tests to run' /tmp/promise.$$ && verdict="FAILS: no test matches $tests in $package"
  done
  if [ -n "$mutations" ] && [ "${MUTATIONS:-1}" = 1 ]; then
    # shellcheck disable=SC2086
    scripts/mutations.sh $mutations >/tmp/promise.$$ 2>&1 || verdict="FAILS: scripts/mutations.sh $mutations"
  fi
  rm -f /tmp/promise.$$
  [ "$verdict" = holds ] || failed=$((failed + 1))
  printf '%2s  %-62s %s\n' "$number" "$promise" "$verdict"
}

prove 1 "No more replicas are loaded than were decided" "./internal/placement TestBurst|TestLostCommitAnswers|TestHomeNodeCrash|TestPausedHomeNode" "row-conditions renumber"
prove 2 "Memory is never overcommitted" "./internal/placement TestSoak|TestLateOrderOfEnded|TestMemoryStays" "harmless"
prove 3 "A waiting request is served or refused in time" "./internal/dispatch TestEveryWaiting;./cmd/mimosatide TestTableOutage" "wait-timer"
prove 4 "A request runs only for the account of its key" "./internal/configuration TestProposed;./internal/dispatch TestKeyWithdrawn" "recheck"
prove 5 "No target sees a caller's key" "./internal/caller TestNoKeyReachesATarget" "key-in-body"
prove 6 "A withdrawn key stops working within seconds" "./internal/fleet TestSoak|TestNodeCutOff|TestMinorityCutOff;./cmd/mimosatide TestWithdrawnKey" "freshness half"
prove 7 "No account gets more than its rate and burst" "./internal/limit .;./internal/experiment TestLimits;./cmd/mimosatide TestAccountKeeps" "loan-term refund-bound late-double lease-end"
prove 8 "A caller gets the whole answer to its own request" "./internal/dispatch TestStreamIsResumed;./cmd/mimosatide TestSilentConnection" "once-each-event"
prove 9 "A refusal that says not run is true" "./internal/dispatch TestCallThatReached|TestNonIdempotent;./cmd/mimosatide TestTableOutage|TestOrderRuns" "run-once"
prove 10 "A non-idempotent request runs at most once" "./internal/dispatch TestNonIdempotent|TestSameIdempotency;./cmd/mimosatide TestOrderRuns" "run-once claim"
prove 11 "A leaving target gets no new work after a few seconds" "./internal/placement TestLeavingEngine;./cmd/mimosatide TestLeavingTarget" ""
prove 12 "A graceful shutdown cuts no request" "./internal/dispatch TestDraining;./cmd/mimosatide TestGraceful|TestRolling" "drain"
prove 13 "An accepted configuration is in force everywhere and stays" "./internal/fleet TestPatch|TestRacing|TestSoak;./cmd/mimosatide TestGrantedKey" "majority spread head-row"
echo "$((total - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
