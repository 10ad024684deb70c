# Shared by the tests of crowds and of single large requests: one process with limits of its own.
# Sourced with the folder of the programs as $1.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
ulimit -n "$(ulimit -Hn)"

port=13000
address() { echo "$ip:$((port + $1))"; }
declare -A offset=([callers]=1 [readiness]=2 [control]=3 [peers]=4)

# write_pool_settings NAME FIRST: of a host whose ports begin at an offset
write_pool_settings() {
  cat >"$work/settings-$1" <<CONF
nodeName=$1
zone=east
ipAddress=$ip
listenAddresses.front=$(address $(($2 + 1)))
listenAddresses.ready=$(address $(($2 + 2)))
listenAddresses.control=$(address $(($2 + 3)))
platform.address=$(address 20)
internalPortRange=$((port + $2 + 4)),$((port + $2 + 4))
limits.memoryMb=$memory_mb
limits.fileDescriptors=$descriptors
CONF
}

# start_pool MEMORY_MB DESCRIPTORS [TARGETS]: a host with one target, or several
start_pool() {
  local targets number
  memory_mb=$1 descriptors=$2 path=/quote/0000000000000000
  targets=$(address 22)
  for number in $(seq 23 $((21 + ${3:-1}))); do targets+=,$(address "$number"); done
  start "$bin/platform_emulator" --store "$(address 20)" --admin "$(address 21)" --targets "$targets" \
    --failure-domains east
  await "http://$(address 21)/report"
  write_pool_settings pool-1 0
  start "$bin/tarragonbridge-pool" --settings "$work/settings-pool-1"
  process_pid=${pids[-1]}
  for _ in $(seq 300); do ask_pool && return; sleep 0.05; done
  fail "no job is done before the crowd"
}
ask_pool() {
  curl -s -m 5 "http://$(address 1)/quote/$(printf '%016x' $RANDOM$RANDOM)" -H 'Host: desk.example' \
    -d '{"specification":"quote","bestEffort":true,"steps":[{"count":1,"cpu":1,"memMb":1,"estimatedMs":5}]}' | grep -q completed
}

# start_frozen_peer: a second pool host, which stands still once the first one knows it
start_frozen_peer() {
  write_pool_settings pool-2 100
  start "$bin/tarragonbridge-pool" --settings "$work/settings-pool-2"
  for _ in $(seq 300); do
    curl -s "http://$(address 3)/metrics" | grep -q '^tarragonbridge_peers_heard 1' && { kill -STOP "${pids[-1]}"; return; }
    sleep 0.05
  done
  fail "the second host isn't heard"
}

# start_daemon MEMORY_MB DESCRIPTORS
start_daemon() {
  memory_mb=$1 descriptors=$2 path=/v1/jobs
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
open_session() { curl -s -m 5 -X POST "http://$(address 1)/v1/sessions" | sed 's/.*"session":"\([^"]*\)".*/\1/'; }
# job KEY PAYLOAD: the body of a submission to the daemon
job() { echo "{\"key\":\"$1\",\"team\":\"agents\",\"submitted_at_ms\":$(date +%s%3N),\"tasks\":[{\"payload\":$2}]}"; }
ask_daemon() {
  local session
  session=$(open_session)
  curl -s -m 5 "http://$(address 1)/v1/jobs" -d "$(job "$session.1" '{"run_ms":5}')" | grep -q '"state":"complete"'
}

check_process() {
  kill -0 "$process_pid" || fail "the process has ended"
  open=$(find "/proc/$process_pid/fd" -mindepth 1 | wc -l)
  peak=$(awk '/^VmHWM/ {print $2}' "/proc/$process_pid/status")
  echo "peak $peak KiB of $((memory_mb * 1024)), $open descriptors of $descriptors"
  [ "$open" -le "$descriptors" ] || fail "$open descriptors are open, over $descriptors"
  [ "$peak" -le $((memory_mb * 1024)) ] || fail "$peak KiB were held, over $memory_mb MiB"
}
