#!/usr/bin/env bash
# The guard beside a worker with many tasks is killed and started again at once. The new process stops
# what it finds at the worker, and keeps it alive until then.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lab-2.sh"
TASKS=${TASKS:-750}
ID=8d0000000000000$((RANDOM % 10))
start_deployment 1 3 --cpu 64000 --stop-ms "${STOP_MS:-40}"

cat > "$RUN/job" <<JSON
{"spec":"ms=12000 cpu=100","best_effort":true,"steps":[{"count":$TASKS,"cpu":100,"mem_mb":16,"estimated_ms":12000}]}
JSON
record "the client sends job $ID with $TASKS tasks to edge-1"
http "$(entry_ip 1):$FRONT" POST "/calc/$ID" 30000 "$RUN/job" > "$RUN/answer" &
CLIENT=$!
all_started () { [ "$(running_tasks)" -ge "$TASKS" ]; }
wait_for 10 all_started || cannot_run "only $(running_tasks) of $TASKS tasks have started"
record "all tasks are at work"
if [ "$TROUBLE" = 1 ]; then
  record "side-1 is killed"
  end_process side-1
  sleep 0.2
  start_guard 1 # the platform restarts what was killed
  record "side-1 is started again"
fi
wait "$CLIENT"
record "the client's answer: $(cat "$RUN/answer")"
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
