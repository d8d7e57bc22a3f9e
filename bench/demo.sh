#!/usr/bin/env bash
# The demo of gentiand: builds the commands, starts the platform stand-in, 4 engines
# of different speeds, 1 plain service and 6 entry hosts in 3 availability zones,
# sends a mixed load for about 10 s, prints the results and stops what it started.
#
#   DEMO_KILL=1   kills one entry host in the middle of the load
#   DEMO_RATE=20  model requests per second
#   DEMO_FOR=10s  length of the load
set -u
cd "$(dirname "$0")/.." || exit 1
rate=${DEMO_RATE:-20}
length=${DEMO_FOR:-10s}
run=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$run"
}
trap stop EXIT
fail() { echo "demo: $1" >&2; tail -n 5 "$run"/*.log >&2; exit 1; }

go build -o bin/ ./cmd/... || fail "the build failed"
start() { # start NAME COMMAND...: run in the background, log to NAME.log
  local name=$1; shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
}
start platform bin/standin platform --address 127.3.0.1:7000
start engines bin/standin engines --history "$run/engines.jsonl" \
  --engine tsumugi-llm-01=127.3.1.1:8000=1 --engine tsumugi-llm-02=127.3.1.2:8000=2 \
  --engine tsumugi-llm-03=127.3.1.3:8000=2 --engine tsumugi-llm-04=127.3.1.4:8000=4
start service bin/standin service --address 127.3.2.1:8000 --name loop-app-01 --history "$run/service.jsonl"
zones=(fukuoka-hall kumamoto-hall kagoshima-hall)
entries=()
for i in 1 2 3 4 5 6; do
  start "entry-$i" bin/gentiand --host "entry-$i" --availability-zone "${zones[$(((i-1)%3))]}" --fleet kyushu \
    --caller-address "127.3.3.$i:7100" --control-address "127.3.3.$i:7101" --admin-address "127.3.3.$i:7102" \
    --platform http://127.3.0.1:7000 --seed 127.3.3.1:7101 --seed 127.3.3.2:7101
  [ "$i" = 4 ] && victim=${pids[-1]}
  entries+=(--entry "127.3.3.$i:7100")
done

ctl() { bin/gentianctl --admin 127.3.3.1:7102 --admin 127.3.3.2:7102 "$@"; }
for _ in $(seq 100); do # wait until all six hosts are members
  [ "$(ctl members 2>/dev/null | grep -c ' alive ')" = 6 ] && break
  sleep 0.1
done
[ "$(ctl members 2>/dev/null | grep -c ' alive ')" = 6 ] || fail "the hosts did not find each other"
ctl config apply --author demo examples/demo.yaml || fail "the configuration was not accepted"

if [ "${DEMO_KILL:-0}" = 1 ]; then
  ( sleep 4; kill -9 "$victim"; echo "killed entry-4" ) &
fi
echo "load: $rate model requests a second and 20 plain calls a second for $length"
bin/standin load "${entries[@]}" --secret swap-site-secret --rate "$rate" --for "$length" --history "$run/load.jsonl" || fail "the load failed"
echo
ctl status
echo
echo "history check:"
bin/gentianctl check "$run"/*.jsonl || broken=1
echo
id=$(grep -h '"kind":"told"' "$run/load.jsonl" | grep '"outcome":"answered"' | grep tsumugi-llm | tail -n 1 | sed 's/.*"id":"\([0-9a-f]*\)".*/\1/')
echo "the path of request $id:"
ctl timeline --request "$id"
exit "${broken:-0}"
