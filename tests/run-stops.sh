#!/usr/bin/env bash
# Many runs that have to end at once, at workers that take 40 ms to stop one. Guards against a job
# that is started again at a known time while runs of its first attempt are still being stopped. The
# workers' journal is the judge.
cd "$(dirname "$0")/.."
. tests/platform.sh
STOP_MS=40
GUARDS=4
TASKS=600

job () { # ms
  printf '{"best_effort":true,"spec":"ms=%d cpu=10","steps":[{"count":%d,"cpu":10,"mem_mb":4,"estimated_ms":%d}]}' "$1" "$TASKS" "$1"
}
# ask ENTRY JOB BODY: prints the body and the status.
ask () {
  curl -s -m 30 -w ' %{http_code}\n' -H 'Host: jobs.example' -H 'X-Mulberrydrift-Deadline-Ms: 25000' \
    -d "$3" "http://127.0.0.$((10 + $1)):$CALLERS/calc/$2"
}
state_of_4 () { # state, as entry-2 last saw it
  [ "$(grep -h 'event=upstream-state guard=guard-4 ' "$RUN/entry-2.log" | tail -n 1 | grep -c "state=$1")" = 1 ]
}
starts () { [ "$(grep -c "^start $1\\." "$RUN/journal")" -ge "$2" ]; } # job count

# The caller repeats its job 1.3 s after its connection broke. A fourth worker is idle then; the others
# may have no time for starts.
entry_killed () {
  local caller
  worker_mode 4 drain
  wait_for 10 state_of_4 2 || fail "the drain is not seen"
  ask 1 00000000000000a1 "$(job 6000)" > "$RUN/left" & caller=$!
  wait_for 20 starts 00000000000000a1 "$TASKS" || fail "the tasks have not started"
  worker_mode 4 normal
  wait_for 10 state_of_4 1 || fail "worker 4 is not back"
  send_signal KILL entry-1
  wait $caller
  sleep 1.3
  ask 2 00000000000000a1 "$(job 1500)" > "$RUN/again"
  echo "repeated after its entry was killed: $(cat "$RUN/again")"
}

run () {
  start_platform
  entry_killed
  judge_runs "$RUN/journal" /dev/null 2>&1 | sed 's/.*\(twice=[0-9]*\) .*/\1/'
}

run > "$RUN/out" || { cat "$RUN/out"; exit 1; }
if [ -n "${UPDATE:-}" ]; then cp "$RUN/out" tests/run-stops.expected; exit; fi
diff -u tests/run-stops.expected "$RUN/out" || { KEEP=1; exit 1; }
