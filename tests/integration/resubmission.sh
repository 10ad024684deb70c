#!/usr/bin/env bash
# A job whose body takes all the memory for jobs is submitted again while it runs: the second
# submission joins the first, and both get its answer.
# resubmission.sh BIN
. "$(dirname "$0")/crowd_lib.sh"
start_daemon 40 400
text=$(head -c 2400000 /dev/zero | tr '\0' t)
job "$(open_session).1" "{\"run_ms\":3000,\"text\":\"$text\"}" >"$work/body"
submit() { curl -s -m 30 "http://$(address 1)/v1/jobs" -d @"$work/body" -o "$work/response-$1"; }
submit first & first=$!
for _ in $(seq 300); do
  curl -s "http://$(address 1)/metrics" | grep -q '^tarragonbridge_tasks_running 1' && break
  sleep 0.05
done
submit second || fail "the second submission isn't answered"
wait $first || fail "the first submission isn't answered"
for which in first second; do
  grep -q '"state":"complete"' "$work/response-$which" || fail "$which: $(head -c 300 "$work/response-$which")"
done
cmp "$work/response-first" "$work/response-second" || fail "the answers differ"
echo "passed"
