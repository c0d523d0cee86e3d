#!/usr/bin/env bash
# An entry is killed; its client sends its job again, to entry 2. The client then cancels the job, and the
# platform forwards that to entry 1, which is back.
. "$(dirname "$0")/../lab-3.sh"
start_all 2 3 64000 45
id=5c0e7a21d94b36f8
job 16 2 1000 900 > "$RUN/job.json"
at=1
say "sent: POST /calc/$id to entry 1: 16 steps one after the other, each of 2 tasks of 0.9 s"
request 1 POST "/calc/$id" "@$RUN/job.json" 30000 > "$RUN/answer" &
client=$!
wait_for 5 are_running 2 || unable "only $(running) tasks run"
if [ "${TROUBLE:-1}" != 0 ]; then
  end entry-1
  say "killed: entry 1"
  wait $client
  say "answered: $(cat "$RUN/answer")"
  sleep 0.5
  start_entry 1
  sleep 0.8
  say "sent: POST /calc/$id to entry 2, 1.3 s after the channel broke"
  request 2 POST "/calc/$id" "@$RUN/job.json" 30000 > "$RUN/answer" &
  client=$!
  wait_for 10 is_ready 1 || unable "entry 1 is not ready again"
  say "ready again: entry 1"
fi
sleep 1
cancelled=$(request 1 DELETE "/calc/$id")
now=$(date +%s%3N)
say "sent: DELETE /calc/$id to entry 1; answered: $cancelled"
case $cancelled in 2* | 410*) ;; *) unable "the cancelling was not acknowledged" ;; esac
wait $client
say "answered: $(cat "$RUN/answer")"
cat "$RUN/journal" >> "$RECORD"
n=$(awk -v after=$((now + 3000)) '$2 == "start" && $1 > after { n++ } END { print n + 0 }' "$RUN/journal")
say "tasks started later than cancel_ms after the acknowledgement: $n"
[ "$n" = 0 ]
