#!/usr/bin/env bash
# A crowd of one form at ports of one process: it lives, stays within the memory and
# descriptors of its settings, and answers an ordinary request while the crowd is there.
# crowds.sh BIN PROCESS PORT[+PORT...] FORM
. "$(dirname "$0")/crowd_lib.sh"
process=$2 form=$4
IFS=+ read -r -a port_names <<<"$3"
crowd=700

key=
case $process in
pool) start_pool 24 400 ;;
pool_beside_frozen) start_pool 24 400; start_frozen_peer; process=pool ;;
daemon) start_daemon 40 400; key=$(open_session).0000000000000000 ;;
esac
if [ "$form" = waits ]; then # for the end of a job that runs for long
  running=$(open_session).1
  curl -s -m 5 "http://$(address 1)/v1/jobs" -H 'Prefer: respond-async' -d "$(job "$running" '{"run_ms":60000}')" |
    grep -q running || fail "no job runs"
  path="/v1/jobs/$running?wait_ms=600000" key=
fi

# start_crowd PORT_NAME: returns once all of it is there
start_crowd() {
  local out="$work/crowd-$1.out" crowd_pid
  : >"$out"
  "$bin/crowd" --address "$(address "${offset[$1]}")" --form "$form" --path "$path" --key "$key" \
    --connections $crowd >"$out" &
  crowd_pid=$!; pids+=($crowd_pid)
  while kill -0 $crowd_pid 2>/dev/null && ! grep -q held "$out"; do sleep 0.1; done
  grep -q held "$out" || fail "the crowd ended early"
}
for name in "${port_names[@]}"; do start_crowd "$name"; done
check_process
for _ in $(seq 20); do "ask_$process" && { check_process; echo "passed"; exit; }; sleep 0.2; done
fail "an ordinary request isn't answered"
