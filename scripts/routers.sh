#!/usr/bin/env bash
# Starts the stand-in (bin/standin) and, at the nodes' addresses, the simple routers
# that the nodes are compared with; runs a command, and then stops the processes that
# it started, by process id and never by name.
#
#   scripts/routers.sh NODES [STANDIN FLAG ...] -- [ROUTER FLAG ...] -- COMMAND [ARG ...]
set -euo pipefail
cd "$(dirname "$0")/.."
nodes=$1
shift
standin_flags=()
while [ "$1" != "--" ]; do
  standin_flags+=("$1")
  shift
done
shift
router_flags=()
while [ "$1" != "--" ]; do
  router_flags+=("$1")
  shift
done
shift
bin/standin "${standin_flags[@]}" &
standin=$!
bin/load --nodes "$nodes" routers "${router_flags[@]}" &
router=$!
trap 'kill "$standin" "$router" 2>/dev/null || true; wait 2>/dev/null || true' EXIT
"$@"
