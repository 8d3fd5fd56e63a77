#!/usr/bin/env bash
# Builds, starts the Cascadia example on loopback (3 regions, 6 zones, 18 hosts
# with fake upstreams, and a fake store), commits changes, sends calls, and
# stops what it started.
set -euo pipefail
cd "$(dirname "$0")/.."
step() { printf '\n== %s\n' "$1"; }

step "build"
scripts/packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build >/dev/null

work=$(mktemp -d)
fleet_pid=
finish() {
  if [ -n "$fleet_pid" ]; then
    kill -TERM "$fleet_pid" 2>/dev/null || true
    wait "$fleet_pid" 2>/dev/null || true
  fi
  rm -rf "$work"
}
trap finish EXIT

step "start 18 hosts"
build/cassiabend-fleet --deployment cascadia --hosts 18 --seconds 120 \
  --work "$work" >"$work/fleet.json" &
fleet_pid=$!
for _ in $(seq 600); do
  [ -s "$work/fleet.json" ] && break
  kill -0 "$fleet_pid" 2>/dev/null || { echo "the fleet did not start; see its message above" >&2; exit 1; }
  sleep 0.1
done
field() { grep -o "\"$1\":\"[^\"]*\"" "$work/fleet.json" | sed -n "$2p" | cut -d'"' -f4; }
CASSIABEND_TOKEN=$(field token 1)
export CASSIABEND_TOKEN
ctl() { build/cassiabend-ctl --node "$(field admin 1),$(field admin 2)" "$@"; }
call() { curl -sS -o /dev/null -w '%{http_code} %header{x-cassiabend-outcome} %header{x-cassiabend-reason}\n' "$@"; }

step "commit the example configuration"
ctl apply examples/cascadia/config.json --wait

step "calls through three nodes"
for host in 1 5 9; do
  call "http://$(field calls $host)/status/42"
done
step "an order, sent twice with one key: the second gets the first's answer"
for host in 2 7; do
  call -X POST -H 'Idempotency-Key: club-42' "http://$(field calls $host)/orders"
done

step "a quiet window that covers the present"
ctl window put now --team cascadia --site workshop \
  --begin "$(date -u -d '-1 hour' +%Y-%m-%dT%H:%M:%SZ)" \
  --end "$(date -u -d '+1 hour' +%Y-%m-%dT%H:%M:%SZ)" --wait
call -X POST "http://$(field calls 3)/runs"

step "a route to a service that does not exist is refused"
ctl route put broken --team cascadia --path-prefix /broken --service nowhere \
  --class status --repeat repeatable --timeout-ms 100 || echo "exit code $?"

step "versions in force"
ctl status
step "history"
ctl history
step "done"
