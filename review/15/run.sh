#!/usr/bin/env bash
# The operator adds a queue whose host name has 130 bytes. Both entries leave the route out of the
# configuration that they apply, and answer its jobs with 404.
set -u
HERE=$(cd "$(dirname "$0")" && pwd)
cd "$HERE/../.."
. review/tools-3/lib.sh
CONFIG_APPLY_MS=2000
JOBS=5 # at each entry

plan 2 3
start_store
put_config 3 festdesk || cannot_run "no configuration"
for n in $(seq "$ENTRIES"); do start_entry "$n"; done
for n in $(seq "$GUARDS"); do start_worker "$n" festdesk a; start_guard "$n"; done
wait_until_up
sleep 1

route () { # name host
  echo "{\"name\":\"$1\",\"host\":\"$2\",\"path_prefix\":\"/$1/\",\"service\":\"festdesk\",\"timeout_ms\":8000,\"priority\":1,\"max_attempts\":3,\"slack_factor\":4,\"target_latency_ms\":60}"
}
label=$(printf 'a%.0s' $(seq 40))
NEW_HOST=$label.$label.$label.example # 130 bytes; a host name may have 253
[ "$TROUBLE" = 1 ] || NEW_HOST=$label.example
"$TOOLS/put" "$STORE" config "{\"version\":4,\"routes\":[$(route square "$HOST"),$(route circle "$NEW_HOST")],\"services\":[],\"limits\":{\"max_body_bytes\":262144}}" \
  || cannot_run "no new configuration"
say "$(now_ms) version 4 is confirmed: it adds a queue for the host $NEW_HOST (${#NEW_HOST} bytes)"
sleep "$(awk "BEGIN { print $CONFIG_APPLY_MS / 1000 + 0.5 }")"

body='{"best_effort":true,"spec":"ms=60 cpu=1600","steps":[{"count":1,"cpu":1600,"mem_mb":64,"estimated_ms":60}]}'
broken=0
for entry in $(seq "$ENTRIES"); do
  for k in $(seq "$JOBS"); do
    id=$(printf '%014x%02x' $((0xe00 + entry)) "$k")
    answer=$(HOST=$NEW_HOST request "$entry" POST "/circle/$id" 8000 "$body")
    say "$(now_ms) answer of entry $entry to POST /circle/$id at the new host: $answer"
    case $answer in 404*) broken=$((broken + 1)) ;; esac
  done
  answer=$(request "$entry" POST "/square/$(printf '%014x%02x' $((0xe00 + entry)) 99)" 8000 "$body")
  say "$(now_ms) answer of entry $entry to a job of the queue that was there before: $answer"
done
echo "journal of the workers: unix ms, event, worker, its kind; for a run the task, its number, how it ended" >> "$RECORD"
cat "$RUN/journal" >> "$RECORD"
if [ "$broken" -gt 0 ]; then
  say "CONFIG is broken: $broken of $((JOBS * ENTRIES)) requests later than $CONFIG_APPLY_MS ms after the confirmation were refused with 404 though the route is there"
  exit 1
fi
say "CONFIG held: no request was refused with 404"
exit 0
