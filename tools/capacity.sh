#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Measures entries as separate processes on loopback at one size, and appends a line of JSON to the file of points:
#   tools/capacity.sh POINTS ENTRIES CENTRES WORKERS POOLS TEAMS [SECONDS] [LOAD] [JOBS]
# LOAD is idle (the default), maintain, which maintains every instance meanwhile, rack-lost, centre-lost or all-replaced,
# which happen as the measurement begins. JOBS run during it.
set -euo pipefail
cd "$(dirname "$0")/.."
points=$1 entries=$2 centres=$3 workers=$4 pools=$5 teams=$6 seconds=${7:-30} load=${8:-idle} jobs=${9:-0}
go build -o bin/ ./cmd/...
dir=$(mktemp -d)
pids=()
finish() { for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null || true; done; rm -rf "$dir"; }
trap finish EXIT
start_entries() {
  for i in $(seq 0 $((entries - 1))); do
    name=$(printf 'entry-%03d' "$i")
    bin/rackstepd --config "$dir/$name.json" >"$dir/$name.log" 2>&1 & pids+=($!)
    echo $! >"$dir/$name.pid"
  done
}
end_entry() { if [ -e "$dir/$1.pid" ]; then kill -KILL "$(cat "$dir/$1.pid")"; rm "$dir/$1.pid"; fi; }
lose() { for id in $(bin/rackstep capacity lose --dir "$dir" "$@"); do end_entry "$id"; done; }

bin/rackstep capacity write --dir "$dir" --entries "$entries" --centres "$centres" --workers "$workers" --pools "$pools" --teams "$teams"
bin/rackstep standin "$dir/standin.json" >"$dir/standin.log" 2>&1 & pids+=($!)
start_entries
sleep 3
export RACKSTEP_ENTRY=127.0.0.1:20011 RACKSTEP_TOKEN=capacity-operator-token
bin/rackstep apply --wait --timeout 60s "$dir/configuration.json" >&2
sleep 12 # links and statuses settle
if [ "$jobs" -gt 0 ]; then
  bin/rackstep capacity submit --dir "$dir" --jobs "$jobs"
  sleep 30 # all are started and followed
fi
sample=()
case $load in
  maintain) bin/rackstep plan --maintain all --confirm >"$dir/plan.txt" ;;
  rack-lost) lose --rack dc-1-rack-0 ;;
  centre-lost) lose --centre dc-1; sleep 1 ;;
  all-replaced)
    for i in $(seq 0 $((entries - 1))); do end_entry "$(printf 'entry-%03d' "$i")"; done
    start_entries
    sample=(--from-start) ;;
esac
bin/rackstep capacity sample --dir "$dir" --time "${seconds}s" --load "$load" "${sample[@]}" | tee -a "$points"
