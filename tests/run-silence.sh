#!/usr/bin/env bash
# Silences of 0.3, 0.6, 1.2 and 5 s, with runs that end before, during and after them: a guard that
# is paused, the link between guards and entry cut in one direction, a worker whose answers or
# whose reports stay away. Guards against a silent machine whose work is started again while it may
# still run, or given up although it ended well; against a second start after a silence that no
# lease noticed; and against "not run" for a job that may have run when its deadline comes during
# a silence. The worker's journal is the judge.
cd "$(dirname "$0")/.."

# job CPU MS: two tasks. Of 8,000 units of processor time a worker has room for one task of 4050 and
# one of 3800, so that each worker has one of each.
job () {
  printf '{"best_effort":true,"spec":"ms=%d cpu=%d","steps":[{"count":2,"cpu":%d,"mem_mb":64,"estimated_ms":%d}]}' \
    "$2" "$1" "$1" "$2"
}
# send JOB DEADLINE_MS BODY: the answer goes to the file of the job.
send () {
  curl -s -m 40 -w ' %{http_code}\n' -H 'Host: jobs.example' -H "X-Mulberrydrift-Deadline-Ms: $2" \
    -d "$3" "http://127.0.0.11:$CALLERS/calc/$1" > "$RUN/answer-$1" &
  CALLERS_WAITING="$CALLERS_WAITING $!"
}
answer () { cat "$RUN/answer-$1"; }
journal () { [ "$(grep -c "^$1 $2\\." "$RUN/journal")" -ge "$3" ]; } # start|end job count
# Leases that ran out at an entry, a guard or a worker.
expirations () {
  cat "$RUN/journal" "$RUN"/entry-1.log "$RUN"/guard-?.log \
    | grep -cE '^end .* (lapsed|stopped) |event=(guard-lost|entry-silent|lease-lapsed|run-missing) '
}
# What a caller was told, as judge_runs reads it.
told () { # job
  case $(answer "$1") in
    *completed*200) echo "$1 completed 200" ;;
    *200) echo "$1 failed 200" ;;
    *429 | *503) echo "$1 rejected" ;;
    *) echo "$1 unknown" ;;
  esac >> "$RUN/results"
}
begin () { # cause
  case $1 in
    paused) send_signal STOP guard-1 ;;
    up | down) command_proxy cut e1 "$1" ;;
    no-answers) command_proxy cut w1 down ;;
    no-reports) worker_mode 1 quiet ;;
  esac
}
end () { # cause
  case $1 in
    paused) send_signal CONT guard-1 ;;
    up | down) command_proxy heal e1 ;;
    no-answers) command_proxy heal w1 ;;
    no-reports) worker_mode 1 normal ;;
  esac
}
both_serve () {
  local n
  for n in 1 2; do
    [ "$(grep -h "event=upstream-state guard=guard-$n " "$RUN/entry-1.log" | tail -n 1 | grep -c state=1)" = 1 ] || return
    [ "$(grep -h -E "event=guard-(up|down) guard=guard-$n" "$RUN/entry-1.log" | tail -n 1 | grep -c guard-up)" = 1 ] || return
  done
}

# silence CAUSE MS: three jobs whose runs end before, during and after the silence; two whose
# deadline may come during it, one of them sent before it and one right after it began.
silence () {
  local before during after brief late expired n
  ROUND=$((ROUND + 1)) CALLERS_WAITING=
  before=$(printf 'a%015x' "$ROUND") during=$(printf 'b%015x' "$ROUND") after=$(printf 'c%015x' "$ROUND")
  brief=$(printf 'd%015x' "$ROUND") late=$(printf 'e%015x' "$ROUND")
  wait_for 20 both_serve || fail "$1 $2: a worker is not usable"
  expired=$(expirations)
  send "$before" 20000 "$(job 50 30)"
  send "$during" 20000 "$(job 4050 $((250 + $2 / 2)))"
  send "$after" 20000 "$(job 3800 $((700 + $2)))"
  wait_for 20 journal end "$before" 2 || fail "$1 $2: no run ends before the silence"
  wait_for 20 journal start "$during" 2 || fail "$1 $2: no run for the silence"
  wait_for 20 journal start "$after" 2 || fail "$1 $2: no run for after the silence"
  send "$brief" 500 "$(job 25 300)"
  wait_for 20 journal start "$brief" 1 || fail "$1 $2: no run of the job with a short deadline"
  begin "$1"
  send "$late" 500 "$(job 25 300)"
  sleep "$(printf '%d.%03d' $(($2 / 1000)) $(($2 % 1000)))"
  end "$1"
  wait $CALLERS_WAITING
  for n in $before $during $after $brief $late; do told "$n"; done
  n=$(grep -c "^start [abc]${before#a}\\." "$RUN/journal")
  [ "$n" -gt 6 ] && [ "$(expirations)" = "$expired" ] && n="$n without an expired lease" || n=once
  grep -q "^$brief rejected" "$RUN/results" && n="$n, not run"
  echo "$1 $2 ms: before $(answer "$before"), during $(answer "$during"), after $(answer "$after"), started $n"
}

# run CAUSE...: an installation for these causes.
run () {
  local cause ms
  . tests/platform.sh
  ENTRIES=1 GUARDS=2 SPEED=1 ROUND=0
  start_proxied 1
  for cause in "$@"; do
    for ms in 300 600 1200 5000; do silence "$cause" "$ms"; done
  done
  judge_runs "$RUN/journal" "$RUN/results" 2>&1 | sed 's/.*\(twice=[0-9]* false_not_run=[0-9]*\).*/\1/'
}

OUT=$(mktemp -d)
(run paused up) > "$OUT/1" &
(run down) > "$OUT/2" &
(run no-answers no-reports) > "$OUT/3" &
wait
cat "$OUT"/? > "$OUT/all"
[ -z "${UPDATE:-}" ] || cp "$OUT/all" tests/run-silence.expected
diff -u tests/run-silence.expected "$OUT/all"
status=$?
rm -rf "$OUT"
exit $status
