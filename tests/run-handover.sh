#!/usr/bin/env bash
# Entries and guards that are replaced while something of a job is under way: an order that was
# sent and not answered, an order that has not arrived, a withdrawal that has not arrived. A process
# leaves by SIGTERM and is started anew, is killed and started anew (an entry at another address),
# or runs beside its successor for a while. A caller without an answer repeats its job at another
# entry after 1.3 s. Guards against two processes that both act for one job, against a job that is
# lost in between, and against "not run" for a job that has run. The workers' journal is the judge.
cd "$(dirname "$0")/.."

# job CPU ESTIMATED_MS MS TASKS. A worker has 8,000 units of processor time: four tasks of 2100 are
# at both workers, and there is room for some of them a second time.
job () {
  printf '{"best_effort":true,"spec":"ms=%d cpu=%d","steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimated_ms":%d}]}' \
    "$3" "$1" "$4" "$1" "$2"
}
# call JOB BODY: a caller of entry-1, which asks entry-2 when it gets no answer. Its file has a line
# for each answer.
call () {
  local entry status
  for entry in 1 2; do
    [ "$entry" = 1 ] || sleep 1.3
    status=$(curl -s -m 20 -w ' %{http_code}' -H 'Host: jobs.example' \
      -H 'X-Mulberrydrift-Deadline-Ms: 8000' -d "$2" "http://127.0.0.$((10 + entry)):$CALLERS/calc/$1")
    echo "$status" >> "$RUN/answer-$1"
    case $status in *200 | *429 | *503 | *504) return ;; esac
  done
}
# What a caller was told in the end, as judge_runs reads it.
told () { # job
  case $(tail -n 1 "$RUN/answer-$1") in
    *completed*200) echo "$1 completed 200" ;;
    *429 | *503) [ "$(wc -l < "$RUN/answer-$1")" = 1 ] && echo "$1 rejected" || echo "$1 unknown" ;;
    *) echo "$1 unknown" ;;
  esac >> "$RUN/results"
}
journal () { [ "$(grep -c "^$1 $2\\." "$RUN/journal")" -ge "$3" ]; } # start|end job count
gone () { ! running "$1"; }
guards_of () { # entry-N: connections of guards since it was launched
  awk '/^event=launched$/ { n = 0 } / event=guard-up / { n++ } END { print n + 0 }' "$RUN/$1.log"
}
knows_guards () { [ "$(guards_of "$1")" -ge "$GUARDS" ] && has_started "$1"; }
# All workers are in use at the entries of callers.
settled () {
  local n e
  for e in 1 2; do
    ready $e || return
    for n in $(seq "$GUARDS"); do
      [ "$(grep -h "event=upstream-state guard=guard-$n " "$RUN/entry-$e.log" | tail -n 1 | grep -c state=1)" = 1 ] \
        || return
    done
  done
}

# replace KIND NAME
replace () {
  case $1-$2 in
    term-*) send_signal TERM "$2" ;;
    kill-*) send_signal KILL "$2" ;;
    two-entry-*) start_proxied_entry 3; wait_for 10 knows_guards entry-3 || fail "entry-3 is not in use"
      send_signal TERM "$2" ;;
    two-guard-*) mv "$RUN/$2.pid" "$RUN/$2-former.pid"; cp "$RUN/$2.log" "$RUN/$2-former.log"
      start_guard "${2#guard-}"
      sleep 0.3; send_signal TERM "$2-former" ;;
  esac
  case $1-$2 in
    kill-entry-*) start_proxied_entry 3; wait_for 10 knows_guards entry-3 || fail "entry-3 is not in use" ;;
    kill-guard-*) wait_for 10 gone "$2"; start_guard "${2#guard-}" ;;
    term-guard-*) wait_for 20 gone "$2"; start_guard "${2#guard-}" ;;
  esac
}
# Back to two entries at their addresses; each guard runs.
restore () { # KIND NAME
  command_proxy heal '*'
  case $2 in
    entry-*) wait_for 20 gone "$2" || fail "$2 does not leave"
      start_proxied_entry "${2#entry-}"
      if running entry-3; then send_signal TERM entry-3; wait_for 20 gone entry-3; fi ;;
    guard-*) [ "$1" != two ] || wait_for 20 gone "$2-former" || fail "$2 does not leave" ;;
  esac
}

scenario () { # KIND NAME PHASE
  local id blocker caller others
  NUMBER=$((NUMBER + 1))
  id=$(printf 'a%015x' "$NUMBER") blocker=$(printf 'b%015x' "$NUMBER")
  wait_for 30 settled || fail "$*: a worker is not usable"
  case $3 in
    order-sent)
      call "$id" "$(job 2100 1800 1800 4)" & caller=$!
      wait_for 20 journal start "$id" 4 || fail "$*: no start" ;;
    order-on-its-way)
      command_proxy delay e1 down 300
      call "$id" "$(job 2100 300 300 4)" & caller=$!
      wait_for 20 seen entry-1 "job-admitted job=$id" || fail "$*: not admitted" ;;
    withdrawal)
      # Longer than declared, so that the second job waits behind it until it is given up.
      call "$blocker" "$(job 8000 30 450 2)" & others=$!
      wait_for 20 journal start "$blocker" 2 || fail "$*: no start before it"
      call "$id" "$(job 4050 60 60 2)" & caller=$!
      wait_for 20 order_waits "$id" || fail "$*: it is not sent"
      command_proxy cut e1 down ;;
  esac
  replace "$1" "$2"
  command_proxy heal '*'
  wait $caller $others
  told "$id"
  restore "$1" "$2"
  grep -hE "job-given-up job=$id" "$RUN"/entry-?.log > /dev/null && GIVEN_UP=$((GIVEN_UP + 1))
  case $3 in
    withdrawal) told "$blocker"; echo "$*: $(answered "$id")" ;;
    *) echo "$*: $(tail -n 1 "$RUN/answer-$id")$(started "$1" "$id")" ;;
  esac
  [ -z "${VERBOSE:-}" ] || echo "$SECONDS $*" >&2
}
# A process that leaves by SIGTERM loses no run, unless a lease runs out on a busy machine.
started () { # KIND JOB
  local n
  [ "$1" != kill ] || return
  n=$(grep -c "^start $2\\." "$RUN/journal")
  if [ "$n" = 4 ] || grep -qE "^end $2\\..* (lapsed|stopped) " "$RUN/journal"; then
    echo ", started once"
  else
    echo ", started $n times"
  fi
}
# A job that may be given up has an answer that says so, and the judge sees whether it is true.
answered () {
  case $(tail -n 1 "$RUN/answer-$1") in
    *completed*200 | *429 | *503 | *504) echo "answered" ;;
    *) tail -n 1 "$RUN/answer-$1" ;;
  esac
}
order_waits () { seen entry-1 "job-admitted job=$1"; }

run () { # NAME KIND...
  local kind phase name=$1
  shift
  . tests/platform.sh
  GUARDS=2 ENTRIES=3 SPEED=1 NUMBER=0 GIVEN_UP=0
  start_handover
  for kind in "$@"; do
    for phase in order-sent order-on-its-way withdrawal; do scenario "$kind" "$name" "$phase"; done
  done
  sleep 1.5 # orders that are carried out late
  judge_runs "$RUN/journal" "$RUN/results" 2>&1 | sed 's/.*\(twice=[0-9]* false_not_run=[0-9]*\).*/\1/'
  [ -z "${VERBOSE:-}" ] || { echo "given up $GIVEN_UP"; cat "$RUN/results"; } >&2
}

# entry-3 has its place at the proxy, and runs only as a successor.
start_handover () {
  start_proxied 1
  send_signal TERM entry-3
  wait_for 20 gone entry-3 || fail "entry-3 does not leave"
}

OUT=$(mktemp -d)
(run entry-1 term kill) > "$OUT/1" &
(run entry-1 two) > "$OUT/2" &
(run guard-1 term kill two) > "$OUT/3" &
wait
cat "$OUT"/? > "$OUT/all"
[ -z "${UPDATE:-}" ] || cp "$OUT/all" tests/run-handover.expected
diff -u tests/run-handover.expected "$OUT/all"
status=$?
rm -rf "$OUT"
exit $status
