#!/usr/bin/env bash
# All machines lose power under load and return, and the store answers slowly. Guards against 503 for
# requests that arrive before an entry has read its configuration or heard its first guard, and
# against a run for a caller that has left meanwhile. The workers' journal, the answers and the
# entries' logs are the judge.
cd "$(dirname "$0")/.."
. tests/platform.sh
ENTRIES=2
GUARDS=3

# What the processes of entry N have logged since they were launched last.
since_launch () { awk '/^event=launched$/ { text = "" } { text = text $0 "\n" } END { printf "%s", text }' "$RUN/entry-$1.log"; }
all_since_launch () { since_launch 1; since_launch 2; }
count () { all_since_launch | grep -c "$1"; }
waited () { all_since_launch | grep -q "event=start-waited .*outcome=$1"; } # the log is written later than the answer

lose_power () {
  local n
  for n in 1 2; do send_signal KILL "entry-$n"; done
  for n in 1 2 3; do send_signal KILL "guard-$n"; send_signal KILL "worker-$n"; done
  for n in 1 2 3; do
    while running "worker-$n"; do sleep 0.01; done
    echo "crash - - $(date +%s%3N) i-$n" >> "$RUN/journal"
  done
}

# Declared with 800 ms, so that a job can wait for a worker as long as it may at all.
body='{"best_effort":true,"spec":"ms=30 cpu=500","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimated_ms":800}]}'
# ask ENTRY JOB: the callers of the outage; each connects as soon as the port is open.
ask () {
  local answer until=$((SECONDS + 30))
  while [ $SECONDS -lt $until ]; do
    answer=$(curl -s -m 5 -w ' %{http_code}' -H 'Host: jobs.example' -H 'X-Mulberrydrift-Deadline-Ms: 4000' \
      -d "$body" "http://127.0.0.$((10 + $1)):$CALLERS/calc/$2")
    case $answer in *' 000') sleep 0.01 ;; *) break ;; esac
  done
  case $answer in
    *completed*200) echo "$2 completed 200" ;;
    *429 | *503) echo "$2 rejected" ;;
    *) echo "$2 unknown" ;;
  esac >> "$RUN/results"
}

run () {
  local n i callers=
  start_platform
  for i in $(seq 20); do post "$(printf 'a%015x' $i)" "$body" $((i % 2 + 1)) > /dev/null; done
  lose_power
  store_mode slow
  for i in $(seq 20); do ask $((i % 2 + 1)) "$(printf 'b%015x' $i)" & callers="$callers $!"; done
  for n in 1 2 3; do start_worker $n; done
  for n in 1 2 3; do start_guard $n; done
  for n in 1 2; do start_entry $n; done
  wait $callers
  echo "callers that waited are served: $(grep -c completed "$RUN/results") of 20"
  wait_for 5 waited ended && echo "requests waited for the configuration" || echo "no request waited"
  echo "503 of requests and of jobs since the return: $(count 'event=request-rejected .*status=503'), $(count 'event=job-answered .*status=503')"
  store_mode normal
  judge_runs "$RUN/journal" "$RUN/results" 2>&1 | sed 's/.*\(twice=.*drained=[0-9]*\).*/\1/'

  # The store does not answer: requests wait for their second, not for ever, and nothing of them runs.
  lose_power
  store_mode silent
  : > "$RUN/results"
  start_entry 1
  wait_for 10 has_started entry-1
  i=$(date +%s%3N)
  ask 1 00000000000000c1
  i=$(($(date +%s%3N) - i))
  echo "without a configuration: $(cut -d' ' -f2 "$RUN/results"), wait $(wait_for 5 waited timed-out && echo timed out)"
  [ $i -ge 800 ] || echo "it waited $i ms only"
  # An entry that is told to leave ends the wait.
  : > "$RUN/results"
  send_signal KILL entry-1
  : > "$RUN/entry-2.log"
  start_entry 1
  wait_for 10 has_started entry-1
  send_signal TERM entry-1
  wait_for 10 seen entry-1 event=leaving
  ask 1 00000000000000c2
  echo "an entry that is leaving: $(cut -d' ' -f2 "$RUN/results"), wait $(wait_for 5 waited ended && echo ended)"
  store_mode normal
}

run > "$RUN/out" || { cat "$RUN/out"; exit 1; }
if [ -n "${UPDATE:-}" ]; then cp "$RUN/out" tests/run-return.expected; exit; fi
diff -u tests/run-return.expected "$RUN/out" || { KEEP=1; exit 1; }
