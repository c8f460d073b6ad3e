#!/usr/bin/env bash
# Runs the demo with every entry and sidecar in a separate process and kills one
# sidecar while it runs. On exit it stops all processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop_all EXIT

./bin/bench processes --dir "$dir" &
bench=$!
pids+=("$bench")
for _ in $(seq 200); do [ -e "$dir/ready" ] && break; sleep 0.05; done

for file in "$dir"/sidecar-*.jsonc; do
  ./bin/sidecar --config "$file" --log-level error &
  pids+=("$!")
done
victim=${pids[1]}
for file in "$dir"/entry-*.jsonc; do
  ./bin/entry --config "$file" --log-level error &
  pids+=("$!")
done

sleep 3
kill -KILL "$victim"
wait "$bench"
