#!/usr/bin/env bash
# A guard is killed and is back 0.3 s later, while its worker has 200 runs of a job.
. "$(dirname "$0")/../lab-3.sh"
start_all 2 3 64000 45
id=5c0e7a21d94b36f8
job 1 600 200 6000 > "$RUN/job.json"
say "sent: POST /calc/$id to entry 1: 600 tasks of 0.2 cores and 6 s each"
request 1 POST "/calc/$id" "@$RUN/job.json" 30000 > "$RUN/answer" &
client=$!
wait_for 5 are_running 600 || unable "only $(running) tasks run"
say "running: 600"
if [ "${TROUBLE:-1}" != 0 ]; then
  end guard-1
  say "killed: guard 1"
  sleep 0.3
  start_guard 1
  say "started again: guard 1"
fi
wait $client
say "answered: $(cat "$RUN/answer")"
cat "$RUN/journal" >> "$RECORD"
twice > "$RUN/twice"
cat "$RUN/twice" >> "$RECORD"
n=$(wc -l < "$RUN/twice")
say "tasks of which two runs were at work at the same time: $n"
[ "$n" = 0 ]
