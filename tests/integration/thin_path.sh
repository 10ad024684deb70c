#!/usr/bin/env bash
# One daemon, two targets and a store as processes: jobs go through and back, bad
# input is refused, SIGTERM ends the daemon with nothing cut off.
. "$(dirname "$0")/lib.sh"

port=12000
store=$ip:$port host=$ip:$((port + 1))

start_platform
put tarragonbridge/settings/agents '{"settings":{}} // inherits all'

cat >"$work/daemon.json" <<JSON
{ "host":"cp-1", "failure_domain":"curepipe", // this host
  "listen":"$host", "peer_listen":"$ip:$((port + 2))", "store":["$store"] }
JSON
start "$bin/tarragonbridged" --config "$work/daemon.json"
daemon=$!
await "http://$host/healthz"
for _ in $(seq 100); do curl -s "http://$host/v1/status" | grep -q '"targets":2' && break; sleep 0.05; done

# A job of 730 tasks of 50 ms, whole and in order.
{ printf '{"team":"agents","tasks":['
  for i in $(seq 0 729); do [ "$i" = 0 ] || printf ,; printf '{"payload":{"run_ms":50,"echo":%d}}' "$i"; done
  printf ']}'; } >"$work/job.json"
"$bin/tarragonbridge" job submit --to "$host" "$work/job.json" >"$work/answer.json" || fail "730 tasks"
grep -q '"state":"complete"' "$work/answer.json" || fail "not complete"
grep -q '{"task":729,"output":{"echo":729}}\]}$' "$work/answer.json" || fail "last result"
starts=$(cat "$work"/target-*.rec | grep -c event=start)
[ "$starts" = 730 ] || fail "$starts starts for 730 tasks"

# A resubmission gets the first answer and starts nothing.
now=$(date +%s%3N)
session=$(curl -s -X POST "http://$host/v1/sessions" | sed 's/.*"session":"\([^"]*\)".*/\1/')
body() { printf '{"key":"%s.%s","team":"%s","submitted_at_ms":%s,"tasks":[%s]}' "$session" "$1" "$2" "$3" "$4"; }
task='{"payload":{"run_ms":1,"echo":"a"}}'
submit() { curl -s -o "$work/body" -w '%{http_code}' "http://$host/v1/jobs" -d "$1"; }
for _ in 1 2; do [ "$(submit "$(body 1 agents "$now" "$task")")" = 200 ] || fail "resubmission"; done
starts=$(cat "$work"/target-*.rec | grep -c event=start)
[ "$starts" = 731 ] || fail "$starts starts for 731 tasks"

# Bad input is refused with a status of its own, and nothing runs.
expect() { local got; got=$(submit "$2"); [ "$got" = "$1" ] || fail "status $got, not $1, for: $2: $(cat "$work/body")"; }
expect 400 '{"key":'
expect 400 "$(body 2 agents "$now" '{"payload":1,"colour":"red"}')"
expect 400 "$(body 2 agents "$now" '{"payload":1,"cores":"two"}')"
expect 400 "$(body 2 agents "$now" '{"cores":1}')"
expect 400 "$(body 2 agents $((now + 60000)) "$task")"
expect 400 "$(body 2 agents $((now - 3600000)) "$task")"
expect 404 "$(body 2 nobody "$now" "$task")"
expect 409 "$(body 1 agents "$now" '{"payload":{"run_ms":2}}')"
expect 422 "$(body 2 agents "$now" '{"payload":1,"cores":31}')"
expect 400 "{\"team\":\"agents\",\"submitted_at_ms\":$now,\"tasks\":[$task]}"
expect 413 "$(body 2 agents "$now" "$task$(printf ',{"payload":1}%.0s' $(seq 1000))")"
expect 503 "$(body 2 agents "$now" "$task" | sed 's/cp-1/cp-9/')"
starts=$(cat "$work"/target-*.rec | grep -c event=start)
[ "$starts" = 731 ] || fail "refused input started a task"

# Bad configuration: every fault at once, exit 2.
echo '{"host":1,"listen":"here","colour":"red"}' >"$work/bad.json"
code=0; "$bin/tarragonbridged" --config "$work/bad.json" 2>"$work/faults" || code=$?
[ "$code" = 2 ] || fail "exit $code for bad configuration"
for word in host listen colour store failure_domain; do grep -q "$word" "$work/faults" || fail "$word not reported"; done

# Arguments that don't fit: exit 2.
code=0; "$bin/tarragonbridge" job submit 2>/dev/null || code=$?
[ "$code" = 2 ] || fail "exit $code for missing arguments"

# SIGTERM with a request in flight: it is answered, the exit code is 0.
(submit "$(body 3 agents "$now" '{"payload":{"run_ms":700,"echo":1}}')" >"$work/last") &
last=$!
for _ in $(seq 200); do curl -s "http://$host/v1/status" | grep -q '"tasks_running":1' && break; sleep 0.02; done
kill -TERM "$daemon"
wait "$last"
[ "$(cat "$work/last")" = 200 ] || fail "request cut off: $(cat "$work/last")"
grep -q complete "$work/body" || fail "not complete after SIGTERM"
code=0; wait "$daemon" || code=$?
[ "$code" = 0 ] || fail "daemon ended with $code"
echo "thin path: passed"
