#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Measures entries as separate processes on loopback at one size, and appends a line of JSON to the file of points:
#   tools/capacity.sh POINTS ENTRIES CENTRES WORKERS POOLS TEAMS [SECONDS] [LOAD]
# LOAD is idle (the default) or maintain, which maintains every instance meanwhile.
set -euo pipefail
cd "$(dirname "$0")/.."
points=$1 entries=$2 centres=$3 workers=$4 pools=$5 teams=$6 seconds=${7:-30} load=${8:-idle}
go build -o bin/ ./cmd/...
dir=$(mktemp -d)
pids=()
finish() { for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null || true; done; rm -rf "$dir"; }
trap finish EXIT
bin/rackstep capacity write --dir "$dir" --entries "$entries" --centres "$centres" --workers "$workers" --pools "$pools" --teams "$teams"
bin/rackstep standin "$dir/standin.json" >"$dir/standin.log" 2>&1 & pids+=($!)
for i in $(seq 0 $((entries - 1))); do
  name=$(printf 'entry-%03d' "$i")
  bin/rackstepd --config "$dir/$name.json" >"$dir/$name.log" 2>&1 & pids+=($!)
  echo $! >"$dir/$name.pid"
done
sleep 3
export RACKSTEP_ENTRY=127.0.0.1:20011 RACKSTEP_TOKEN=capacity-operator-token
bin/rackstep apply --wait --timeout 60s "$dir/configuration.json" >&2
sleep 12 # links and statuses settle
if [ "$load" = maintain ]; then bin/rackstep plan --maintain all --confirm >"$dir/plan.txt"; fi
bin/rackstep capacity sample --dir "$dir" --time "${seconds}s" --load "$load" | tee -a "$points"
