# Shared by the integration tests: sourced with the folder of the programs as $1.
set -euo pipefail
bin=$1
work=$(mktemp -d)
# A loopback address that no other living process uses: tests run at the same time.
ip=127.$((64 + ($$ >> 16))).$((($$ >> 8) & 255)).$(($$ & 255))
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
fail() { echo "FAILED: $*"; tail -n 40 "$work"/*.log; exit 1; }
# start PROGRAM ARGUMENTS: in the background, its log in the work folder
start() { "$@" >>"$work/$(basename "$1").log" 2>&1 & pids+=($!); }
# await URL: until something answers there
await() { for _ in $(seq 300); do curl -s -o /dev/null "$1" && return; sleep 0.05; done; fail "no answer from $1"; }
