#!/usr/bin/env bash
# One request as large as requests may be is served in calm, however it is sent, with the least
# memory that a host has. As callers do, it is sent again after a 504: beside other work on the
# machine a job of a thousand tasks may be late.
# calm.sh BIN PROCESS FORM
. "$(dirname "$0")/crowd_lib.sh"
process=$2 form=$3
case $process in
pool) start_pool 120 3075 16; key= ;;
daemon) start_daemon 128 400; key=$(open_session).0000000000000000 ;;
esac
for _ in $(seq 5); do
  "$bin/crowd" --address "$(address 1)" --form "$form" --path "$path" --key "$key" --connections 1 --response \
    >"$work/response" || fail "there is no response"
  head -c 300 "$work/response"
  grep -q '^HTTP/1.1 504' "$work/response" || break
done
grep -q '^HTTP/1.1 200' "$work/response" || fail "the request isn't served"
grep -q complete "$work/response" || fail "the job isn't complete"
check_process
echo "passed"
