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
eval "plain_$(declare -f start_entry)"
start_entry () {
  local share
  eval "share=\$SHARE_$1"
  SETTINGS_TAIL="cpu_share: $share" plain_start_entry "$1"
}

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
connected_again () { [ "$(peer_ups)" -gt "$UPS" ]; }
ended () { [ "$(grep -c "^start $1\\." "$RUN/journal")" -gt 0 ] && [ "$(grep -c "^start $1\\." "$RUN/journal")" = "$(grep -c "^end $1\\." "$RUN/journal")" ]; }
taken () { seen entry-2 "handover-taken job=$1"; }
# Begins a job of two tasks at entry-1 and waits until it runs by order of entry-2.
begin () { # job
  ask 1 "$1" "$(job 900 2)" > "$RUN/answer-$1" & CALLER=$!
  wait_for 20 taken "$1" || fail "$1 is not handed over"
  wait_for 20 journal start "$1" 2 || fail "$1 does not start"
}

plain () {
  local i
  for i in 1 2 3; do
    ask 1 "00000000000000a$i" "$(job 50 2)" > "$RUN/answer-a$i"
    told "00000000000000a$i" "$RUN/answer-a$i"
  done
  echo "handed over: $(cat "$RUN"/answer-a? | xargs), taken $(count entry-2 'handover-taken job=00000000000000a')"
}

queries () {
  begin 00000000000000b1
  echo "state: $(ask 1 00000000000000b1 '' GET)"
  echo "cancelled: $(ask 1 00000000000000b1 '' DELETE)"
  wait "$CALLER"
  told 00000000000000b1 "$RUN/answer-00000000000000b1"
  echo "its caller: $(cat "$RUN/answer-00000000000000b1")"
  echo "repeated: $(ask 1 00000000000000b1 "$(job 900 2)")"
  wait_for 20 ended 00000000000000b1 || fail "a run of the cancelled job goes on"
}

repeat () {
  local second
  begin 00000000000000b2
  ask 1 00000000000000b2 "$(job 900 2)" > "$RUN/second" & second=$!
  wait "$CALLER" "$second"
  told 00000000000000b2 "$RUN/answer-00000000000000b2"
  echo "repeated while it runs: $(cat "$RUN/answer-00000000000000b2" "$RUN/second" | xargs), starts $(grep -c '^start 00000000000000b2\.' "$RUN/journal")"
}

caller_leaves () {
  PATIENCE=0.5 begin 00000000000000b3
  wait "$CALLER"
  wait_for 20 ended 00000000000000b3 || fail "a job whose caller left goes on"
  echo "00000000000000b3 left" >> "$RUN/results"
  echo "caller left: ended after less than 900 ms: $(awk '/^start 00000000000000b3\./ { s = $4 } /^end 00000000000000b3\./ { e = $4 } END { print (e - s < 900 ? "yes" : "no") }' "$RUN/journal")"
}

# The caller repeats the job at the other entry 1.3 s after an answer that tells it nothing.
taker_fails () { # signal job
  begin "$2"
  UPS=$(peer_ups)
  send_signal "$1" entry-2
  wait "$CALLER"
  echo "taker gets $1: $(cat "$RUN/answer-$2" | xargs)"
  sleep 1.3
  ask 1 "$2" "$(job 200 2)" > "$RUN/again-$2"
  told "$2" "$RUN/again-$2"
  echo "repeated: $(cat "$RUN/again-$2")"
  if [ "$1" = STOP ]; then send_signal CONT entry-2; else start_entry 2; fi
  wait_for 20 connected_again && wait_for 20 offers || fail "entry-2 is not back"
}
hander_fails () { # signal job
  begin "$2"
  UPS=$(peer_ups)
  send_signal "$1" entry-1
  sleep 1.3
  ask 2 "$2" "$(job 200 2)" > "$RUN/again-$2"
  told "$2" "$RUN/again-$2"
  echo "hander gets $1: repeated $(cat "$RUN/again-$2")"
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
  taker_fails KILL 00000000000000c1
  taker_fails STOP 00000000000000c2
  hander_fails STOP 00000000000000c3
  hander_fails KILL 00000000000000c4
  both_overloaded
  judge_runs "$RUN/journal" "$RUN/results" 2>&1 | sed 's/.*\(twice=.*drained=[0-9]*\).*/\1/'
}

run > "$RUN/out" || { cat "$RUN/out"; exit 1; }
if [ -n "${UPDATE:-}" ]; then cp "$RUN/out" tests/run-handover-jobs.expected; exit; fi
diff -u tests/run-handover-jobs.expected "$RUN/out" || { KEEP=1; exit 1; }
