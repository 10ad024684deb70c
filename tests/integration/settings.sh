#!/usr/bin/env bash
# Two daemons and a store as processes: operators race, a write's answer is lost, a write
# takes effect late, the store is out of reach, watches go silent, the store is restored to
# an older state. What was accepted is in force on both hosts and never reverts.
. "$(dirname "$0")/lib.sh"

port=12000
store=$ip:$port one=$ip:$((port + 1)) two=$ip:$((port + 3))
admin() { curl -sf "http://$store/admin/$1" -o /dev/null -d "${2:-{\}}"; }
revision() { curl -s "http://$store/v3/kv/range" -d '{"key":"YQ=="}' | sed 's/.*"revision":"\([0-9]*\)".*/\1/'; }
# put HOST PATH REVISION TEXT: prints the status, leaves the body in $work/body
put() { curl -s -o "$work/body" -w '%{http_code}' -X PUT "http://$1/v1/settings/$2" -H "If-Match: \"$3\"" -H "From: ann" "${@:5}" -d "$4"; }
expect() { local want=$1 got; shift; got=$(put "$@"); [ "$got" = "$want" ] || fail "status $got, not $want, for $*: $(cat "$work/body")"; }
etag() { curl -s "http://$one/v1/settings/$1" | sed 's/.*"revision":\([0-9]*\).*/\1/'; }
urgency() { curl -s "http://$1/v1/settings/$2?effective=1" | sed 's/.*"urgency":{[^}]*"value":\([0-9]*\).*/\1/'; }
in_force() { # PATH VALUE: waits until both hosts have it
  for host in "$one" "$two"; do
    for _ in $(seq 400); do [ "$(urgency "$host" "$1")" = "$2" ] && continue 2; sleep 0.05; done
    fail "$host has urgency $(urgency "$host" "$1") at $1, not $2"
  done
}

start "$bin/store_standin" --listen "$store"
await "http://$store/admin/calls"
for n in 1 3; do
  cat >"$work/$n.json" <<JSON
{ "host":"h-$n", "failure_domain":"a", "listen":"$ip:$((port + n))",
  "peer_listen":"$ip:$((port + n + 1))", "store":["$store"] }
JSON
  start "$bin/tarragonbridged" --config "$work/$n.json"
done
await "http://$one/healthz"
await "http://$two/healthz"

# Before any settings are in force a host says that it isn't ready, then it is.
health() { curl -s -o /dev/null -w '%{http_code}' "http://$1/healthz"; }
[ "$(health "$one")" = 503 ] || fail "ready without settings"

# The store stand-in refuses what it doesn't know, and does nothing of it.
before=$(revision)
txn() { curl -s -o /dev/null -w '%{http_code}' "http://$store/v3/kv/txn" -d "$1"; }
known='{"request_put":{"key":"YQ==","value":"YQ=="}}'
[ "$(txn "{\"success\":[$known,{\"requestPut\":{\"key\":\"YQ==\",\"value\":\"YQ==\"}}]}")" = 400 ] || fail "an unknown operation"
[ "$(txn "{\"succes\":[$known]}")" = 400 ] || fail "an unknown member"
[ "$(txn "{\"compare\":[{\"target\":\"COLOUR\",\"key\":\"YQ==\"}],\"success\":[$known]}")" = 400 ] || fail "an unknown comparison"
[ "$(revision)" = "$before" ] || fail "a refused transaction changed the store"

# Created by one host, in force on both, comments kept.
expect 200 "$one" desk 0 '{"urgency":1} // first'
in_force desk 1
[ "$(health "$one")" = 200 ] || fail "not ready with settings in force"
grep -q '// first' "$work/body" || fail "comment lost"
"$bin/tarragonbridge" settings get desk --to "$two" | grep -q '// first' || fail "get"

# All faults at once, and nothing changes.
expect 400 "$one" desk "$(etag desk)" '{"urgency":10,"colour":1}'
grep -q urgency "$work/body" && grep -q colour "$work/body" || fail "faults"
expect 400 "$one" Desk 0 '{}'
expect 412 "$one" desk 0 '{}'
echo '{"urgency":77}' >"$work/bad.json"
code=0; "$bin/tarragonbridge" settings check desk "$work/bad.json" --to "$one" 2>/dev/null || code=$?
[ "$code" = 3 ] || fail "check ended with $code"

# Operators race through both hosts: one wins, the other sees what changed.
base=$(etag desk)
(put "$one" desk "$base" '{"urgency":2}' >"$work/a") & a=$!
(work=$work/second; mkdir -p "$work"; put "$two" desk "$base" '{"urgency":3}' >"$work/b") & b=$!
wait "$a" "$b"
results=$(cat "$work/a" "$work/second/b" | fold -w3 | sort | tr '\n' ' ')
[ "$results" = "200 412 " ] || fail "race gave $results"
grep -h '"reason":"revision_changed"' "$work/body" "$work/second/body" | grep -q '"by":"ann' || fail "loser not told"

# The answer of a write that took effect is lost: the edit is settled as accepted, once.
admin faults '{"lose_writes":1}'
expect 200 "$one" desk "$(etag desk)" '{"urgency":4}'
in_force desk 4
[ "$(curl -s "http://$one/v1/settings/desk?history=1" | grep -o '"urgency\\":4' | wc -l)" = 1 ] || fail "edit written twice"

# A write that takes effect late and unanswered is settled too: accepted or told unknown.
admin faults '{"late_writes_ms":1500}'
got=$(put "$one" desk "$(etag desk)" '{"urgency":5}')
admin faults '{}'
grep -q '"accepted":"no"' "$work/body" && fail "told not accepted, and it is in: $got"
in_force desk 5

# Out of reach: refused plainly, serving goes on with what is in force.
before=$(etag desk)
admin faults '{"down":true}'
expect 503 "$one" desk "$before" '{"urgency":6}'
[ "$(urgency "$one" desk)" = 5 ] || fail "not in force during the outage"
curl -s "http://$one/v1/settings/desk" | grep -q '"source":"host"' || fail "no settings in the outage"
admin faults '{}'

# Silent watches are renewed.
in_force desk 5
admin silence_watches
expect 200 "$two" other 0 '{"urgency":7}'
in_force other 7

# A store restored to an older state: hosts keep what they have and say so.
old=$(revision)
expect 200 "$one" desk "$(etag desk)" '{"urgency":8}'
in_force desk 8
admin restore "{\"revision\":$old}"
admin cut_watches
for _ in $(seq 300); do curl -s "http://$two/v1/status" | grep -q '"store_behind":\["desk"\]' && break; sleep 0.05; done
curl -s "http://$two/v1/status" | grep -q '"store_behind":\["desk"\]' || fail "restore not noticed"
in_force desk 8
expect 412 "$one" desk "$before" '{"urgency":0}'
expect 200 "$one" desk "$(etag desk)" '{"urgency":9}'
in_force desk 9

# Operators named in the root: a missing, wrong or foreign token changes nothing.
hash() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
expect 200 "$one" "" 0 "{\"operators\":[{\"name\":\"bob\",\"token_sha256\":\"$(hash key)\"}]}"
in_force desk 9
expect 401 "$one" desk "$(etag desk)" '{"urgency":1}'
expect 401 "$one" desk "$(etag desk)" '{"urgency":1}' -H 'Authorization: Bearer wrong'
expect 200 "$one" desk "$(etag desk)" '{"urgency":1}' -H 'Authorization: Bearer key'
in_force desk 1
curl -s "http://$one/v1/settings/desk" | grep -q '"by":"bob"' || fail "operator not named"
echo "settings: passed"
