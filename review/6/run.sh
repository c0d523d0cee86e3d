#!/usr/bin/env bash
# A job of many tasks is at work when its entry is killed. Its client sends the job again, resend_ms
# after its channel broke, to the other entry.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lab-2.sh"
TASKS=${TASKS:-600}
ID=6a0000000000000$((RANDOM % 10))
WORKER_4="--kind b"
start_deployment 2 4 --cpu 64000 --stop-ms ${STOP_MS:-40}

# Another client's job has worker 4 for 3 s, so that the tasks are placed on the other three.
echo '{"spec":"ms=3000 cpu=6400","best_effort":true,"steps":[{"count":10,"cpu":6400,"mem_mb":16,"estimated_ms":3000,"requirements":"b"}]}' \
  > "$RUN/other"
cat > "$RUN/job" <<JSON
{"spec":"ms=12000 cpu=100","best_effort":true,"steps":[{"count":$TASKS,"cpu":100,"mem_mb":16,"estimated_ms":12000}]}
JSON
submit () { # entry: sends the job and records the answer
  local answer
  record "the client sends job $ID with $TASKS tasks to edge-$1"
  answer=$(http "$(entry_ip "$1"):$FRONT" POST "/calc/$ID" 30000 "$RUN/job")
  record "the client's answer from edge-$1: $answer"
  echo "$answer" > "$RUN/answer"
}
all_started () { [ "$(running_tasks)" -ge "$TASKS" ]; }

other_started () { [ "$(running_tasks)" -ge 10 ]; }
http "$(entry_ip 2):$FRONT" POST "/calc/${ID/6a/6f}" 10000 "$RUN/other" > "$RUN/other-answer" &
OTHER=$!
wait_for 5 other_started || cannot_run "the other job has not started"
submit 1 &
CLIENT=$!
wait "$OTHER"
record "another client's job on worker 4 has ended: $(cat "$RUN/other-answer")"
wait_for 10 all_started || cannot_run "only $(running_tasks) of $TASKS tasks have started"
record "all tasks are at work"
if [ "$TROUBLE" = 1 ]; then
  record "edge-1 is killed"
  end_process edge-1
  killed=$(now)
  wait "$CLIENT"
  sleep 0.5
  start_entry 1 # the platform restarts what was killed
  record "edge-1 is started again"
  left=$((killed + 1300 - $(now))) # resend_ms after the channel broke
  sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
  submit 2 &
  CLIENT=$!
fi
wait "$CLIENT"
cat "$RUN/journal" >> "$CASE/record.txt"
doubled_runs > "$RUN/doubled"
if [ -s "$RUN/doubled" ]; then
  record "TWICE is broken for $(wc -l < "$RUN/doubled") runs:"
  cat "$RUN/doubled" >> "$CASE/record.txt"
  echo "TWICE: $(wc -l < "$RUN/doubled") runs started beside another run of their task; the first: $(head -1 "$RUN/doubled")"
  exit 1
fi
grep -q '^200 .*completed' "$RUN/answer" || cannot_run "the job did not complete: $(cat "$RUN/answer")"
echo "held: no two runs of a task at the same time"
