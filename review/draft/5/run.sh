#!/usr/bin/env bash
# 171 callers instead of 95 wait for their jobs at an entry; one of them cancels its job.
. "$(dirname "$0")/../lab-3.sh"
start_all 2 3 64000 45
callers=95
[ "${TROUBLE:-1}" != 0 ] && callers=171
job 16 1 100 900 > "$RUN/job.json"
say "sent: $callers jobs to entry 1, each of 16 steps one after the other of a task of 0.9 s and 0.1 cores"
clients=()
for n in $(seq "$callers"); do
  request 1 POST "/calc/$(printf '5c0e7a21d94b%04x' "$n")" "@$RUN/job.json" 30000 > "$RUN/answer-$n" &
  clients+=($!)
  sleep 0.02
done
wait_for 5 are_running 90 || unable "only $(running) tasks run"
id=5c0e7a21d94b0001
begun=$(date +%s%3N)
cancelled=$(request 1 DELETE "/calc/$id" "" 30000)
acked=$(date +%s%3N)
say "sent: DELETE /calc/$id to entry 1; answered after $((acked - begun)) ms: $cancelled"
[ $((acked - begun)) -gt 4000 ] && acked=$((begun + 4000)) && say "ready: $(is_ready 1 && echo yes || echo no)"
for client in "${clients[@]}"; do wait "$client"; done
say "answered: $(cat "$RUN"/answer-* | sort | uniq -c | tr '\n' ';')"
cat "$RUN/journal" >> "$RECORD"
n=$(awk -v id="$id" -v after=$((acked + 3000)) '$2 == "start" && index($3, id) == 1 && $1 > after { n++ } END { print n + 0 }' "$RUN/journal")
say "tasks of it started later than cancel_ms after the acknowledgement, or after ack_ms without one: $n"
[ "$n" = 0 ]
