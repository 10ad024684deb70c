#!/usr/bin/env bash
# Three entry hosts, two targets and a store as processes: any host answers for any
# session, a resubmission elsewhere starts nothing, and the death of a home or of a
# holder is answered for.
. "$(dirname "$0")/lib.sh"

port=12000
store=$ip:$port
host() { echo "$ip:$((port + 20 + $1))"; }
peer() { echo "$ip:$((port + 30 + $1))"; }
start_host() {
  start "$bin/tarragonbridged" --config "$work/$1.json"
  host_pid[$1]=$!
  await "http://$(host "$1")/healthz"
  for _ in $(seq 100); do curl -s "http://$(host "$1")/v1/status" | grep -q '"targets":2' && return; sleep 0.05; done
  fail "host $1 lists no targets"
}

start_platform
put tarragonbridge/settings/agents '{"settings":{}}'
declare -A host_pid
for n in 1 2 3; do
  put "platform/hosts/cp-$n" "{\"role\":\"entry\",\"failure_domain\":\"curepipe\",\"rack\":\"e$n\",\"address\":\"$(host $n)\",\"peer_address\":\"$(peer $n)\",\"state\":\"live\"}"
  cat >"$work/$n.json" <<JSON
{"host":"cp-$n", "failure_domain":"curepipe", "listen":"$(host $n)", "peer_listen":"$(peer $n)", "store":["$store"]}
JSON
done
for n in 1 2 3; do start_host $n; done

session_of() { curl -s -X POST "http://$(host "$1")/v1/sessions" | sed 's/.*"session":"\([^"]*\)".*/\1/'; }
now=$(date +%s%3N)
body() { printf '{"key":"%s","team":"agents","submitted_at_ms":%s,"tasks":[{"payload":{"run_ms":%s,"echo":"%s"}}]}' "$1" "$now" "$2" "$3"; }
# submit HOST BODY FILE: prints the status, keeps the answer in FILE
submit() { curl -s -o "$work/$3" -w '%{http_code}' "http://$(host "$1")/v1/jobs" -d "$2"; }
starts() { cat "$work"/target-*.rec 2>/dev/null | grep event=start | grep -c "task=$1#" || true; }
expect() { [ "$2" = "$1" ] || fail "$3: status $2, not $1: $(cat "$work/$4")"; }
holds() { grep -q "$2" "$work/$1" || fail "$3: $(cat "$work/$1")"; }

# A session of host 1 used at every host: one start, the same answer everywhere.
session=$(session_of 1)
for n in 2 1 3 2; do
  expect 200 "$(submit $n "$(body "$session.1" 20 a)" "a$n")" "submission at $n" "a$n"
  cmp -s "$work/a2" "$work/a$n" || fail "another answer at host $n"
done
holds a2 '"state":"complete"' "first answer"
[ "$(starts "$session.1")" = 1 ] || fail "$(starts "$session.1") starts of one submission"
expect 409 "$(submit 3 "$(body "$session.1" 20 b)" conflict)" "another body" conflict
expect 409 "$(submit 1 "$(body "$session.1" 20 b)" conflict)" "another body at the home" conflict

# Two that race at two hosts, and one that comes while it runs.
racers=()
for n in 2 3 2 3; do submit $n "$(body "$session.2" 300 r)" "r$n-$RANDOM" >/dev/null & racers+=($!); done
sleep 0.1
expect 200 "$(submit 1 "$(body "$session.2" 300 r)" r1)" "while it runs" r1
wait "${racers[@]}"
for file in "$work"/r*-* "$work/r1"; do grep -q '"state":"complete"' "$file" || fail "racer: $(cat "$file")"; done
[ "$(starts "$session.2")" = 1 ] || fail "$(starts "$session.2") starts of racing submissions"

# Query and cancellation at a host that neither holds nor is home.
submit 2 "$(body "$session.3" 5000 c)" c2 >/dev/null & holder=$!
for _ in $(seq 100); do
  curl -s "http://$(host 3)/v1/jobs/$session.3" >"$work/q3"; grep -q running "$work/q3" && break; sleep 0.02
done
holds q3 '"state":"running"' "query elsewhere"
curl -s -X DELETE "http://$(host 3)/v1/jobs/$session.3" >"$work/d3"
holds d3 '"reason":"cancelled"' "cancellation elsewhere"
wait "$holder"
holds c2 '"reason":"cancelled"' "holder's answer after cancellation"
expect 404 "$(curl -s -o "$work/q4" -w '%{http_code}' "http://$(host 3)/v1/jobs/$session.4")" "unknown key" q4

# Bad input of a peer is refused and counted, and changes nothing.
rpc() { curl -s "http://$(peer 1)/" -d "$1"; }
rpc '{"jsonrpc":"2.0","id":1,"method":"grab","params":{}}' | grep -q error || fail "unknown method"
rpc '{"jsonrpc":"2.0","id":1,"method":"claim","params":{"from":1,"to":"a","claims":[]}}' | grep -q error || fail "wrong type"
rpc '{"jsonrpc":"2.0","id":1,"method":"claim","params":{"from":"a","to":"a.b.1","claims":[]}}' | grep -q error || fail "bad identity"
rpc "$(printf '[%.0s' $(seq 5000))" | grep -q error || fail "deep nesting"
head -c 400000 /dev/zero | tr '\0' ' ' >"$work/large"
[ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(peer 1)/" -d "@$work/large")" = 413 ] || fail "oversize"
curl -s "http://$(host 1)/v1/status" >"$work/status"
holds status '"peer_malformed":[23]' "malformed input counted"
holds status '"peer_unknown_method":[12]' "unknown method counted"

# The holder is killed, the home lives: never run again, 503 while it is silent.
submit 3 "$(body "$session.5" 5000 h)" h3 >/dev/null & holder=$!
for _ in $(seq 100); do [ "$(starts "$session.5")" = 1 ] && break; sleep 0.02; done
kill -9 "${host_pid[3]}"; wait "$holder" || true
expect 503 "$(submit 2 "$(body "$session.5" 5000 h)" h2)" "holder silent" h2
holds h2 '"not_run":false' "holder silent"
start_host 3
for n in 1 2 3; do
  expect 200 "$(submit $n "$(body "$session.5" 5000 h)" "h$n")" "holder dead, asked at $n" "h$n"
  holds "h$n" '"reason":"holder_died","outcome":"unknown"' "holder dead, asked at $n"
done
[ "$(starts "$session.5")" = 1 ] || fail "a submission of a dead holder ran again"

# The home is killed: a living holder's answer is found, nothing else is granted.
expect 200 "$(submit 2 "$(body "$session.6" 20 k)" k2)" "before the home's death" k2
kill -9 "${host_pid[1]}"
expect 503 "$(submit 3 "$(body "$session.6" 20 k)" k3)" "home silent" k3
start_host 1
for n in 1 2 3; do
  expect 200 "$(submit $n "$(body "$session.6" 20 k)" "k$n")" "home dead, asked at $n" "k$n"
  holds "k$n" '"state":"complete"' "living holder's answer at $n"
  expect 200 "$(submit $n "$(body "$session.7" 20 k)" "n$n")" "home dead, new key at $n" "n$n"
  holds "n$n" '"reason":"home_died","outcome":"unknown"' "home dead, new key at $n"
done
[ "$(starts "$session.6")" = 1 ] || fail "ran again after the home's death"
[ "$(starts "$session.7")" = 0 ] || fail "a key of a dead home was started"

# SIGTERM: the health check fails, a job held for another host's caller ends whole.
session=$(session_of 1)
submit 2 "$(body "$session.1" 700 s)" s2 >"$work/s2.code" & holder=$!
for _ in $(seq 100); do [ "$(starts "$session.1")" = 1 ] && break; sleep 0.02; done
submit 3 "$(body "$session.1" 700 s)" s3 >"$work/s3.code" & other=$!
sleep 0.2
kill -TERM "${host_pid[2]}"
wait "$holder" "$other"
code=0; wait "${host_pid[2]}" || code=$?
[ "$code" = 0 ] || fail "host 2 ended with $code"
holds s2 '"state":"complete"' "in flight at SIGTERM"
holds s3 '"state":"complete"' "fetched in flight at SIGTERM"
echo "hosts: passed"
