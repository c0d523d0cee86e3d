#!/usr/bin/env bash
# Processes that are paused and wake after what they may act on has run out: a guard after its
# worker said that it leaves, and after the leases of its entries; an entry after its leases and
# after the permit of an advisor; an entry and its readers of the store after the configuration
# was replaced. Guards against work that is started on a permission that has run out. The workers'
# journal and the answers of the callers are the judge.
cd "$(dirname "$0")/.."
. tests/platform.sh
ENTRIES=2
GUARDS=2

# job CPU MS TASKS [STEPS]: declared as EST ms if that is set
job () {
  local step="{\"count\":$3,\"cpu\":$1,\"mem_mb\":64,\"estimated_ms\":${EST:-$2}"
  printf '{"best_effort":true,"spec":"ms=%d cpu=%d%s","steps":[%s}%s]}' "$2" "$1" "${SPEC:-}" "$step" \
    "${4:+,$step,\"depends_on\":[0]\}}"
}
# ask ENTRY JOB BODY: prints the status and the body; waits up to DEADLINE ms.
ask () {
  curl -s -m "${PATIENCE:-20}" -w ' %{http_code}\n' -H 'Host: jobs.example' -H 'X-Mulberrydrift-Deadline-Ms: '"${DEADLINE:-12000}" \
    -d "$3" "http://127.0.0.$((10 + $1)):$CALLERS${QUEUE:-/calc/}$2"
}
journal () { [ "$(grep -c "^$1 $2\\." "$RUN/journal")" -ge "$3" ]; } # start|end job count
state_is () { # entry guard state
  [ "$(grep -h "event=upstream-state guard=guard-$2 " "$RUN/entry-$1.log" | tail -n 1 | grep -c "state=$3")" = 1 ]
}
in_use () {
  local e g
  for e in 1 2; do for g in 1 2; do state_is $e $g 1 || return; done; done
}
# What a caller was told, as judge_runs reads it.
told () { # job file
  case $(cat "$2") in
    *completed*200) echo "$1 completed 200" ;;
    *429 | *503) echo "$1 rejected" ;;
    *) echo "$1 unknown" ;;
  esac >> "$RUN/results"
}

connected () { # entry: guard-1's last connection is up
  grep -h 'event=guard-\(up\|down\) guard=guard-1 ' "$RUN/entry-$1.log" | tail -n 1 | grep -q guard-up
}
# A drain that the guard could not be told of: orders of before and orders that come at once.
drain_notice () {
  local i callers=
  # Both workers are full; the second job waits at them.
  ask 1 00000000000000a1 "$(EST=30 job 8000 1000 2)" > "$RUN/full" & callers="$callers $!"
  wait_for 20 journal start 00000000000000a1 2 || fail "no start before the drain"
  ask 1 00000000000000a2 "$(job 4050 300 2)" > "$RUN/waits" & callers="$callers $!"
  wait_for 20 seen entry-1 'job-admitted job=00000000000000a2' || fail "the second job is not admitted"
  send_signal STOP guard-1
  worker_mode 1 drain
  sleep 3
  send_signal CONT guard-1
  for i in 1 2 3 4; do
    ask $((i % 2 + 1)) "00000000000000b$i" "$(job 900 50 4)" > "$RUN/drain-$i" & callers="$callers $!"
  done
  wait_for 20 connected 1 && wait_for 20 connected 2 || fail "the guard does not connect again"
  for i in 5 6 7 8; do
    ask $((i % 2 + 1)) "00000000000000b$i" "$(job 1900 50 8)" > "$RUN/drain-$i" & callers="$callers $!"
  done
  wait $callers
  # Some of the others may be rejected, for the time being, by the one worker that is left.
  for i in 1 2 3 4 5 6 7 8; do told "00000000000000b$i" "$RUN/drain-$i"; done
  echo "a guard that slept through a drain: $(cat "$RUN/full" "$RUN/waits" | xargs)"
  worker_mode 1 normal
  wait_for 20 in_use || fail "the worker is not back"
}

# An entry whose caller has gone to another one while it was paused, with a step under way.
entry_lease () {
  local body caller
  body=$(job 1500 700 4 2)
  PATIENCE=1.3 ask 1 00000000000000c1 "$body" > "$RUN/left" & caller=$!
  wait_for 20 journal start 00000000000000c1 4 || fail "no start before the pause"
  send_signal STOP entry-1
  wait $caller
  ask 2 00000000000000c1 "$body" > "$RUN/again" & caller=$!
  wait_for 20 journal start 00000000000000c1 8 || fail "the repeated job does not start"
  send_signal CONT entry-1
  wait $caller
  echo "an entry that slept while its caller went to another one: $(cat "$RUN/again")"
  wait_for 20 in_use || fail "the entry does not see both workers"
}

# A run that is lost during the pause had a permit that is over when the entry wakes, and the advisor
# gives none again: the job ends with its deadline, unknown because a part of it has run.
permit () {
  local caller
  put_config 4 /calc/ /advised/
  wait_for 5 seen entry-1 'config-applied version=4' || fail "version 4 is not applied"
  advisor_allows i-2
  DEADLINE=6000 QUEUE=/advised/ ask 1 00000000000000d1 "$(SPEC=' advised' job 1000 1500 1)" > "$RUN/advised" & caller=$!
  wait_for 20 journal start 00000000000000d1 1 || fail "no start before the pause"
  send_signal STOP entry-1
  advisor_allows nobody
  sleep 3.2
  send_signal CONT entry-1
  wait $caller
  echo "an entry that slept until a permit was over: $(cat "$RUN/advised"), starts on $(sed -n 's/^start 00000000000000d1.* //p' "$RUN/journal" | xargs)"
  wait_for 20 in_use || fail "the entry does not see both workers"
}

# The newest configuration has another queue, and one less.
configuration () {
  send_signal STOP entry-1
  put_config 6 /calc/ /added/
  put_config 5 /calc/ /advised/
  sleep 3
  send_signal CONT entry-1
  status () { curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' "http://127.0.0.11:$CALLERS/$1/"; }
  has () { [ "$(status "$1")" = "$2" ]; }
  wait_for 20 has added 200 || fail "the newest configuration is not in force"
  echo "an entry that slept through a configuration: added $(status added), removed $(status advised), older applied $(grep -c 'config-applied version=5' "$RUN/entry-1.log")"
}

run () {
  start_platform
  drain_notice
  entry_lease
  permit
  configuration
  judge_runs "$RUN/journal" "$RUN/results" 2>&1 | sed 's/.*\(twice=.*drained=[0-9]*\).*/\1/'
}

run > "$RUN/out" || { cat "$RUN/out"; exit 1; }
if [ -n "${UPDATE:-}" ]; then cp "$RUN/out" tests/run-wake.expected; exit; fi
diff -u tests/run-wake.expected "$RUN/out" || { KEEP=1; exit 1; }
