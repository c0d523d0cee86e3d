#!/usr/bin/env bash
# The operator removes a queue while a job of it runs; the client then cancels the job.
. "$(dirname "$0")/../lab-3.sh"
start_all 2 3 64000 45
id=5c0e7a21d94b36f8
put_config 5 /calc/ /drawn/ || unable "the configuration was not written"
sleep 2.2
job 16 2 1000 900 > "$RUN/job.json"
say "sent: POST /drawn/$id to entry 1: 16 steps one after the other, each of 2 tasks of 0.9 s"
request 1 POST "/drawn/$id" "@$RUN/job.json" 30000 > "$RUN/answer" &
client=$!
wait_for 5 are_running 2 || unable "only $(running) tasks run"
if [ "${TROUBLE:-1}" != 0 ]; then
  put_config 7 /calc/ || unable "the configuration was not written"
  say "configuration 7: without the queue /drawn/"
fi
sleep 2.2
begun=$(date +%s%3N)
acked=
for attempt in 1 2 3 4 5 6 7 8; do
  cancelled=$(request 1 DELETE "/drawn/$id")
  say "sent: DELETE /drawn/$id to entry 1; answered: $cancelled"
  case $cancelled in 2* | 410*) acked=$(date +%s%3N); break ;; esac
  sleep 0.5
done
# Acknowledged, or waited ack_ms (4,000) of steady state for that.
from=${acked:-$((begun + 4000))}
wait $client
say "answered: $(cat "$RUN/answer")"
cat "$RUN/journal" >> "$RECORD"
n=$(awk -v after=$((from + 3000)) '$2 == "start" && $1 > after { n++ } END { print n + 0 }' "$RUN/journal")
say "tasks started later than cancel_ms after the acknowledgement, or after ack_ms without one: $n"
[ "$n" = 0 ]
