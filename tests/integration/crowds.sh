#!/usr/bin/env bash
# A crowd of one form at one port of one process: it lives, stays within the memory and
# descriptors of its settings, and answers an ordinary request while the crowd is there.
# crowds.sh BIN PROCESS PORT FORM
. "$(dirname "$0")/lib.sh"
process=$2 port_name=$3 form=$4
crowd=700
ulimit -n "$(ulimit -Hn)"

port=13000
address() { echo "$ip:$((port + $1))"; }
declare -A offset=([callers]=1 [readiness]=2 [control]=3 [peers]=4)

start_pool() {
  memory_mb=24 descriptors=400 path=/quote/0000000000000000
  start "$bin/platform_emulator" --store "$(address 20)" --admin "$(address 21)" --targets "$(address 22)"
  await "http://$(address 21)/report"
  cat >"$work/settings" <<CONF
nodeName=pool-1
zone=east
ipAddress=$ip
listenAddresses.front=$(address 1)
listenAddresses.ready=$(address 2)
listenAddresses.control=$(address 3)
platform.address=$(address 20)
internalPortRange=$((port + 4)),$((port + 4))
limits.memoryMb=$memory_mb
limits.fileDescriptors=$descriptors
CONF
  start "$bin/tarragonbridge-pool" --settings "$work/settings"
  process_pid=${pids[-1]}
  for _ in $(seq 300); do ask_pool && return; sleep 0.05; done
  fail "no job is done before the crowd"
}
ask_pool() {
  curl -s -m 5 "http://$(address 1)/quote/$(printf '%016x' $RANDOM$RANDOM)" -H 'Host: desk.example' \
    -d '{"specification":"quote","bestEffort":true,"steps":[{"count":1,"cpu":1,"memMb":1,"estimatedMs":5}]}' | grep -q completed
}

start_daemon() {
  memory_mb=40 descriptors=400 path=/v1/jobs
  store=$(address 20)
  start_platform
  put tarragonbridge/settings/agents '{"settings":{}}'
  cat >"$work/daemon.json" <<JSON
{"host":"cp-1", "failure_domain":"curepipe", "listen":"$(address 1)", "peer_listen":"$(address 4)",
 "store":["$store"], "memory_mb":$memory_mb, "file_descriptors":$descriptors}
JSON
  start "$bin/tarragonbridged" --config "$work/daemon.json"
  process_pid=${pids[-1]}
  for _ in $(seq 300); do ask_daemon && return; sleep 0.05; done
  fail "no job is done before the crowd"
}
ask_daemon() {
  local session
  session=$(curl -s -m 5 -X POST "http://$(address 1)/v1/sessions" | sed 's/.*"session":"\([^"]*\)".*/\1/')
  curl -s -m 5 "http://$(address 1)/v1/jobs" \
    -d "{\"key\":\"$session.1\",\"team\":\"agents\",\"submitted_at_ms\":$(date +%s%3N),\"tasks\":[{\"payload\":{\"run_ms\":5}}]}" | grep -q '"state":"complete"'
}

"start_$process"
"$bin/crowd" --address "$(address "${offset[$port_name]}")" --form "$form" --path "$path" \
  --connections $crowd >"$work/crowd.out" &
crowd_pid=$!; pids+=($crowd_pid)
while kill -0 $crowd_pid 2>/dev/null && ! grep -q held "$work/crowd.out"; do sleep 0.1; done
grep -q held "$work/crowd.out" || fail "the crowd ended early"
check_process() {
  kill -0 "$process_pid" || fail "the process has ended"
  open=$(find "/proc/$process_pid/fd" -mindepth 1 | wc -l)
  peak=$(awk '/^VmHWM/ {print $2}' "/proc/$process_pid/status")
  echo "peak $peak KiB of $((memory_mb * 1024)), $open descriptors of $descriptors"
  [ "$open" -le "$descriptors" ] || fail "$open descriptors are open, over $descriptors"
  [ "$peak" -le $((memory_mb * 1024)) ] || fail "$peak KiB were held, over $memory_mb MiB"
}
check_process
for _ in $(seq 20); do "ask_$process" && { check_process; echo "passed"; exit; }; sleep 0.2; done
fail "an ordinary request isn't answered"
