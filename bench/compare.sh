#!/usr/bin/env bash
# Compares two builds under the same load: for each revision, starts the platform
# stand-in and 6 entry hosts on loopback and sends the same generated requests. Prints
# both reports side by side and plots the worth of answers over time by request kind.
#
#   bench/compare.sh REVISION REVISION      a revision, or "." for the working tree
#   LOAD=traces/loads/burst.yaml SEED=1 PLOT=worth.svg
set -u
cd "$(dirname "$0")/.." || exit 1
[ $# = 2 ] || { sed -n '2,9p' "$0" >&2; exit 2; }
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  pids=()
  wait 2>/dev/null
}
cleanup() {
  stop
  rm -rf "$work"
  git worktree prune
}
trap cleanup EXIT
fail() { echo "compare: $1" >&2; exit 1; }
go build -o bin/ ./cmd/gentianlab || fail "the lab does not build"
for i in 1 2; do
  rev=${!i}
  if [ "$rev" = . ]; then
    go build -o "$work/host$i" ./cmd/gentianhost || fail "the working tree does not build"
  else
    git worktree add --detach -f "$work/tree$i" "$rev" >/dev/null 2>&1 || fail "no revision $rev"
    (cd "$work/tree$i" && go build -o "$work/host$i" ./cmd/gentianhost) || fail "$rev does not build"
  fi
  dir=$work/run$i
  mkdir "$dir"
  bin/gentianlab platform --dir "$dir" --hosts 6 --subnet "127.6.$i" >"$dir/platform.log" 2>&1 &
  pids+=($!)
  for _ in $(seq 50); do [ -e "$dir/entry-5.conf" ] && break; sleep 0.1; done
  for conf in "$dir"/entry-*.conf; do
    GENTIANFLOW_CONFIG=$conf "$work/host$i" >"${conf%.conf}.log" 2>&1 &
    pids+=($!)
  done
  bin/gentianlab load --dir "$dir" --load "${LOAD:-traces/loads/burst.yaml}" --seed "${SEED:-1}" --label "${rev/#./this tree}" \
    --report "$work/$i.json" || fail "the load on $rev failed"
  stop
done
bin/gentianlab compare ${PLOT:+--plot "$PLOT"} "$work/1.json" "$work/2.json"
