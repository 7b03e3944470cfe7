#!/usr/bin/env bash
# Runs the measurements of docs/MEASUREMENTS.md one after the other.
#
#   make build && scripts/bench.sh
set -euo pipefail
cd "$(dirname "$0")/.."
large_fleet="--engines 9 --services 3"
single_engine="--engines 1 --services 1"

echo "== rate limits, in virtual time"
bin/load limits
echo "== first requests for 30 idle models, at 8 nodes at once, in two rounds; idle models are unloaded after 10 s"
# shellcheck disable=SC2086
{
  NODE_FLAGS="--min-keep 10s --keep-factor 0" scripts/cluster.sh 8 $large_fleet -- bin/load --nodes 8 burst --pause 25s
  scripts/routers.sh 8 $large_fleet -- --idle 10s --coordinated -- bin/load --nodes 8 burst --pause 25s --no-configure --name "one router"
  scripts/routers.sh 8 $large_fleet -- --idle 10s -- bin/load --nodes 8 burst --pause 25s --no-configure --name "8 routers"
}
echo "== overload: twice the capacity of one engine, most of it from one account"
# shellcheck disable=SC2086
{
  scripts/cluster.sh 8 $single_engine --concurrency 16 --load-time 1s -- bin/load --nodes 8 overload
  scripts/routers.sh 8 $single_engine --concurrency 16 --load-time 1s -- --engines 1 --idle 60s --coordinated -- \
    bin/load --nodes 8 overload --no-configure --name "one router"
}
echo "== warm requests, through one node and directly to the engine"
# shellcheck disable=SC2086
{
  scripts/cluster.sh 1 $single_engine --concurrency 4096 --load-time 200ms --token-time 1ms -- bin/load --nodes 1 warm
  scripts/cluster.sh 1 $single_engine --concurrency 4096 --load-time 200ms --token-time 10ms -- bin/load --nodes 1 warm --per-second 130 --tokens 100
}
echo "== idle fleet, then a mixed load"
# shellcheck disable=SC2086
{
  scripts/cluster.sh 8 $large_fleet -- bin/load --nodes 8 idle
  scripts/cluster.sh 8 $large_fleet -- bin/load --nodes 8 mix
  scripts/cluster.sh 8 --engines 12 --services 3 -- bin/load --nodes 8 mix --deployment cinturon --seed 2
}
echo "== cost of each role by the size of the fleet, and benchmarks"
bin/load slopes
go test -run XXX -bench . -benchtime 500ms ./internal/limit ./internal/configuration | grep Benchmark
