#!/usr/bin/env bash
# A task that crashes each worker that starts it, and whose caller is patient. Guards against a task
# that takes down one worker after another, with the runs of other jobs there.
cd "$(dirname "$0")/.."
. tests/platform.sh
ENTRIES=1

JOB='{"best_effort":true,"spec":"ms=30 cpu=1000","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimated_ms":30}]}'

patient_post () { # job body
  curl -s -m 40 -w ' %{http_code}\n' -H 'Host: jobs.example' -H 'X-Mulberrydrift-Deadline-Ms: 30000' \
    -d "$2" "http://127.0.0.11:$CALLERS/calc/$1"
}

run () {
  start_platform
  echo "a deadly task: $(patient_post 00000000000000a1 "${JOB/cpu=1000/cpu=1000 deadly}")"
  local starts=$(grep -c '^start 00000000000000a1' "$RUN/journal")
  [ "$starts" -le 3 ] && echo "workers that crashed under it: at most three" || echo "workers that crashed under it: $starts"
  # Lines are written by a thread of their own, after the answer.
  wait_for 10 seen entry-1 'job=00000000000000a1 .*reason=task-crashes-workers' && echo "the entry says why"
  wait_for 20 workers_seen 1 $((GUARDS + starts)) || fail "a worker is not back"
  echo "a job after it: $(patient_post 00000000000000a2 "$JOB")"
}

run > "$RUN/out"
if [ -n "${UPDATE:-}" ]; then cp "$RUN/out" tests/run-deadly.expected; exit; fi
diff -u tests/run-deadly.expected "$RUN/out" || { KEEP=1; exit 1; }
