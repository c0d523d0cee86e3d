#!/usr/bin/env bash
# An entry is killed while the workers have 450 runs of a job; its client sends the job again.
. "$(dirname "$0")/../lab-3.sh"
start_all 2 3 64000 45
id=5c0e7a21d94b36f8
job 1 450 300 6000 > "$RUN/job.json"
say "sent: POST /calc/$id to entry 1: 450 tasks of 0.3 cores and 6 s each"
request 1 POST "/calc/$id" "@$RUN/job.json" 30000 > "$RUN/answer" &
client=$!
wait_for 5 are_running 450 || unable "only $(running) tasks run"
say "running: 450"
if [ "${TROUBLE:-1}" != 0 ]; then
  end entry-1
  say "killed: entry 1"
  wait $client
  say "answered: $(cat "$RUN/answer")"
  (sleep 0.3; exec sleep 0) ; start_entry 1
  sleep 1.0
  say "sent: POST /calc/$id to entry 2, 1.3 s after the channel broke"
  request 2 POST "/calc/$id" "@$RUN/job.json" 30000 > "$RUN/answer"
else
  wait $client
fi
say "answered: $(cat "$RUN/answer")"
cat "$RUN/journal" >> "$RECORD"
twice > "$RUN/twice"
cat "$RUN/twice" >> "$RECORD"
n=$(wc -l < "$RUN/twice")
say "tasks of which two runs were at work at the same time: $n"
[ "$n" = 0 ]
