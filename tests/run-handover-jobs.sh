#!/usr/bin/env bash
# Entries that share their callers' work. Entry-1 has a processor share that it always exceeds, so that
# it hands its requests over to entry-2, while the taker, the hander or a caller fails, freezes or
# leaves. Guards against a request that is lost or runs twice on the way, against "not run" for a job
# that has run, and against a caller that waits for an answer that cannot come. The workers' journal is
# the judge.
cd "$(dirname "$0")/.."
. tests/platform.sh
ENTRIES=2
GUARDS=2

# Cores of an entry's setting; the first is always short of time, the second never is.
SHARE_1=0.001 SHARE_2=16

job () { # MS TASKS
  printf '{"best_effort":true,"spec":"ms=%d cpu=900","steps":[{"count":%d,"cpu":900,"mem_mb":64,"estimated_ms":%d}]}' "$1" "$2" "$1"
}
ask () { # ENTRY JOB BODY [METHOD]: prints body and status
  curl -s -m "${PATIENCE:-20}" -w ' %{http_code}\n' -X "${4:-POST}" -H 'Host: jobs.example' \
    -H 'X-Mulberrydrift-Deadline-Ms: 12000' ${3:+-d "$3"} "http://127.0.0.$((10 + $1)):$CALLERS/calc/$2"
}
told () { # job file
  case $(tail -n 1 "$2") in
    *completed*200) echo "$1 completed 200" ;;
    *429 | *503) echo "$1 rejected" ;;
    *) echo "$1 unknown" ;;
  esac >> "$RUN/results"
}
journal () { [ "$(grep -c "^$1 $2\\." "$RUN/journal")" -ge "$3" ]; } # start|end job count
count () { grep -c "$2" "$RUN/$1.log"; }                            # name pattern
offers () { [ "$(curl -s -m 2 "http://127.0.0.11:$METRICS/metrics" | sed -n 's/^mulberrydrift_handover_offer_permille //p')" = "${1:-1000}" ]; }
# Entry-1 is connected to entry-2 anew.
peer_ups () { count entry-1 'event=peer-up peer=entry-2 '; }
# To read the metrics of entry-1 keeps it above its share, which it is not while it is idle: it dials only while
# it is short of time.
connected_again () { offers; [ "$(peer_ups)" -gt "$UPS" ]; }
ended () { [ "$(grep -c "^start $1\\." "$RUN/journal")" -gt 0 ] && [ "$(grep -c "^start $1\\." "$RUN/journal")" = "$(grep -c "^end $1\\." "$RUN/journal")" ]; }
taken () { seen entry-2 "handover-taken job=$1"; }
# Begins a job of two tasks at entry-1 that is handed over, and sets JOB. On a machine that is busy entry-2
# may have no time for a moment; such a job is served at entry-1, and another one is tried.
handed_or_kept () { taken "$JOB" || seen entry-1 "job-admitted job=$JOB "; }
begin () { # name
  local n
  for n in 1 2 3 4 5 6 7 8 9; do
    JOB=$1$n
    wait_for 20 offers || fail "entry-1 does not offer its requests"
    ask 1 "$JOB" "$(job "${MS:-900}" 2)" > "$RUN/answer-$JOB" & CALLER=$!
    wait_for 20 handed_or_kept || fail "$JOB is neither handed over nor admitted"
    if taken "$JOB"; then break; fi
    wait "$CALLER"
    told "$JOB" "$RUN/answer-$JOB"
  done
  taken "$JOB" || fail "no job is handed over"
  wait_for 20 journal start "$JOB" 2 || fail "$JOB does not start"
}

plain () {
  local i
  for i in 1 2 3; do
    MS=50 begin "000000000000a$i"
    wait "$CALLER"
    told "$JOB" "$RUN/answer-$JOB"
    echo "handed over: $(cat "$RUN/answer-$JOB")"
  done
}

queries () {
  begin 000000000000b1
  echo "state: $(ask 1 $JOB '' GET)"
  echo "cancelled: $(ask 1 $JOB '' DELETE)"
  wait "$CALLER"
  told $JOB "$RUN/answer-$JOB"
  echo "its caller: $(cat "$RUN/answer-$JOB")"
  echo "repeated: $(ask 1 $JOB "$(job 900 2)")"
  wait_for 20 ended $JOB || fail "a run of the cancelled job goes on"
}

repeat () {
  local second
  begin 000000000000b2
  ask 1 $JOB "$(job 900 2)" > "$RUN/second" & second=$!
  wait "$CALLER" "$second"
  told $JOB "$RUN/answer-$JOB"
  echo "repeated while it runs: $(cat "$RUN/answer-$JOB" "$RUN/second" | xargs), starts $(grep -c "^start $JOB\." "$RUN/journal")"
}

caller_leaves () {
  PATIENCE=0.5 begin 000000000000b3
  wait "$CALLER"
  wait_for 20 ended $JOB || fail "a job whose caller left goes on"
  echo "$JOB left" >> "$RUN/results"
  echo "caller left: ended after less than 900 ms: $(awk -v job="^$JOB[.]" '$1 == "start" && $2 ~ job { s = $4 } $1 == "end" && $2 ~ job { e = $4 } END { print (e - s < 900 ? "yes" : "no") }' "$RUN/journal")"
}

# The caller repeats the job at the other entry 1.3 s after an answer that tells it nothing.
taker_fails () { # signal job
  begin "$2"
  UPS=$(peer_ups)
  send_signal "$1" entry-2
  wait "$CALLER"
  echo "taker gets $1: $(cat "$RUN/answer-$JOB" | xargs)"
  sleep 1.3
  ask 1 "$JOB" "$(job 200 2)" > "$RUN/again-$JOB"
  told "$JOB" "$RUN/again-$JOB"
  echo "repeated: $(cat "$RUN/again-$JOB")"
  if [ "$1" = STOP ]; then send_signal CONT entry-2; else start_entry 2; fi
  wait_for 20 connected_again && wait_for 20 offers || fail "entry-2 is not back"
}
hander_fails () { # signal job
  begin "$2"
  UPS=$(peer_ups)
  send_signal "$1" entry-1
  sleep 1.3
  ask 2 "$JOB" "$(job 200 2)" > "$RUN/again-$JOB"
  told "$JOB" "$RUN/again-$JOB"
  echo "hander gets $1: repeated $(cat "$RUN/again-$JOB")"
  if [ "$1" = STOP ]; then send_signal CONT entry-1; else start_entry 1; fi
  wait "$CALLER"
  wait_for 20 ready 1 || fail "entry-1 is not ready"
  wait_for 20 connected_again && wait_for 20 offers || fail "entry-1 does not offer"
}

# Every end of a request is at one entry, whatever is refused on the way.
both_overloaded () {
  local before
  send_signal TERM entry-2
  wait_for 20 eval '! running entry-2' || fail "entry-2 does not end"
  SHARE_2=0.001 start_entry 2
  wait_for 20 ready 2 || fail "entry-2 is not ready"
  wait_for 20 offers 0 || fail "entry-1 offers to an entry without time"
  before=$(count entry-2 'event=handover-taken')
  for i in 1 2 3; do
    ask 1 "00000000000000d$i" "$(job 50 2)" > "$RUN/answer-d$i"
    told "00000000000000d$i" "$RUN/answer-d$i"
  done
  echo "both overloaded: $(cat "$RUN"/answer-d? | xargs), taken $(($(count entry-2 'event=handover-taken') - before))"
}

run () {
  start_platform
  wait_for 20 offers || fail "entry-1 does not offer its requests"
  plain
  queries
  repeat
  caller_leaves
  taker_fails KILL 000000000000c1
  taker_fails STOP 000000000000c2
  hander_fails STOP 000000000000c3
  hander_fails KILL 000000000000c4
  both_overloaded
  judge_runs "$RUN/journal" "$RUN/results" 2>&1 | sed 's/.*\(twice=.*drained=[0-9]*\).*/\1/'
}

run > "$RUN/out" || { cat "$RUN/out"; exit 1; }
if [ -n "${UPDATE:-}" ]; then cp "$RUN/out" tests/run-handover-jobs.expected; exit; fi
diff -u tests/run-handover-jobs.expected "$RUN/out" || { KEEP=1; exit 1; }
