#!/usr/bin/env bash
# The demo of gentianhost: builds the commands, starts the platform stand-in and 6
# entry hosts on loopback, sends a mixed load for about 10 s, prints the results and
# stops what it started.
#
#   DEMO_KILL=1    kills one entry host in the middle of the load
#   DEMO_RATE=60   requests per second
#   DEMO_FOR=10s   length of the load
set -u
cd "$(dirname "$0")/.." || exit 1
run=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$run"
}
trap stop EXIT
fail() { echo "demo: $1" >&2; tail -n 5 "$run"/*.log >&2; exit 1; }
go build -o bin/ ./cmd/gentianhost ./cmd/gentianlab || fail "the build failed"
bin/gentianlab platform --dir "$run" --hosts 6 >"$run/platform.log" 2>&1 &
pids+=($!)
for _ in $(seq 50); do [ -e "$run/entry-5.conf" ] && break; sleep 0.1; done
for conf in "$run"/entry-*.conf; do
  GENTIANFLOW_CONFIG=$conf bin/gentianhost >"${conf%.conf}.log" 2>&1 &
  pids+=($!)
done
if [ "${DEMO_KILL:-0}" = 1 ]; then (sleep 6; kill -9 "${pids[3]}") & fi
bin/gentianlab load --dir "$run" --rate "${DEMO_RATE:-60}" --for "${DEMO_FOR:-10s}" || fail "the load failed"
