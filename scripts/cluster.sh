#!/usr/bin/env bash
# Starts the stand-in (bin/standin), which simulates the platform and the targets, and
# nodes on loopback ports; runs a command, and then stops the processes that it started,
# by process id and never by name.
#
#   scripts/cluster.sh NODES [STANDIN FLAG ...] -- COMMAND [ARG ...]
#
# Node I listens on 127.0.0.1: callers 80I0, operators 80I1, peers 80I2.
# NODE_FLAGS holds further flags of the nodes. The command gets the log directory
# in MIMOSATIDE_LOGS and the process ids of the nodes in MIMOSATIDE_NODE_PIDS. The
# logs are kept if the command fails.
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

logs=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

bin/standin "${standin_flags[@]}" >"$logs/standin.log" 2>&1 &
pids+=($!)
zones=(a b c)
export MIMOSATIDE_PEER_SECRET=${MIMOSATIDE_PEER_SECRET:-demo-secret-of-the-peers}
export MIMOSATIDE_OPERATOR_KEY=${MIMOSATIDE_OPERATOR_KEY:-demo-key-of-the-operators}
for ((i = 1; i <= nodes; i++)); do
  bin/mimosatide serve --zone "${zones[$(((i - 1) % 3))]}" --host "node-host-$i" \
    --callers "127.0.0.1:80${i}0" --operators "127.0.0.1:80${i}1" --peers "127.0.0.1:80${i}2" \
    ${NODE_FLAGS:-} >"$logs/node-$i.log" 2>&1 &
  pids+=($!)
done
export MIMOSATIDE_LOGS=$logs
export MIMOSATIDE_NODE_PIDS="${pids[*]:1}"
status=0
"$@" || status=$?
if [ "$status" -ne 0 ]; then
  echo "command failed with status $status; logs are in $logs"
else
  stop_all
  pids=()
  rm -rf "$logs"
fi
exit "$status"
