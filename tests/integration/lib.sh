# Shared by the integration tests: sourced with the folder of the programs as $1.
set -euo pipefail
bin=$1
work=$(mktemp -d)
# A loopback address that no other living process uses: tests run at the same time.
ip=127.$((64 + ($$ >> 16))).$((($$ >> 8) & 255)).$(($$ & 255))
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done # those that stand still
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
fail() { echo "FAILED: $*"; tail -n 40 "$work"/*.log; exit 1; }
# start PROGRAM ARGUMENTS: in the background, its log in the work folder
start() { "$@" >>"$work/$(basename "$1").log" 2>&1 & pids+=($!); }
# await URL: until something answers there
await() { for _ in $(seq 300); do curl -s -o /dev/null "$1" && return; sleep 0.05; done; fail "no answer from $1"; }
# put KEY VALUE: writes to the store at $store.
put() {
  curl -sf "http://$store/v3/kv/put" -o /dev/null \
    -d "{\"key\":\"$(printf %s "$1" | base64 -w0)\",\"value\":\"$(printf %s "$2" | base64 -w0)\"}"
}
# start_platform: a store at $store with settings, and two targets at $ip in its host list.
start_platform() {
  start "$bin/store_standin" --listen "$store"
  for n in 1 2; do
    start "$bin/target_standin" --listen "$ip:$((port + 10 + n))" --slots 100 --record "$work/target-$n.rec"
  done
  await "http://$store/admin/calls"
  put tarragonbridge/settings/ '{"settings":{"failure_domains":["curepipe"]}}'
  for n in 1 2; do
    put "platform/hosts/t$n" "{\"role\":\"target\",\"failure_domain\":\"curepipe\",\"rack\":\"r1\",\"address\":\"$ip:$((port + 10 + n))\",\"state\":\"live\",\"slots\":100,\"cores\":30,\"memory_mb\":65536,\"accelerators\":0,\"connections\":60}"
  done
}
