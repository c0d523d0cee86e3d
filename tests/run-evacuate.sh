#!/usr/bin/env bash
# Failure domains that the operator evacuates and puts back into use, under load: calm, while an entry
# and a guard are replaced, while a guard stands still, while guards are cut off from all entries, while
# entries are cut off from the store, and while jobs wait. Guards against a run that is started in an
# evacuated domain, against started runs that are ended with it, and against a domain that stays out of
# use. The workers' journal is the judge: the request has to be in effect within 1 s of its
# confirmation where nothing fails, and within 5 s otherwise.
cd "$(dirname "$0")/.."
. tests/platform.sh
ENTRIES=2
GUARDS=4
SPEED=1
DOMAIN_1=zone-a DOMAIN_2=zone-a DOMAIN_3=zone-b DOMAIN_4=zone-b
TARGET=1 LIMIT=5 # seconds

job () { # ms tasks estimated_ms cpu
  printf '{"best_effort":true,"spec":"ms=%d cpu=%d","steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimated_ms":%d}]}' \
    "$1" "${4:-500}" "$2" "${4:-500}" "${3:-$1}"
}
# ask ENTRY JOB BODY: prints the body, the status and Retry-After.
ask () {
  curl -s -m 30 -w ' %{http_code} %header{retry-after}\n' -H 'Host: jobs.example' \
    -H 'X-Mulberrydrift-Deadline-Ms: 20000' -d "$3" "http://127.0.0.$((10 + $1)):$CALLERS/calc/$2"
}
begin_load () {
  launch load "$BIN/tests/jobload" --servers "127.0.0.11:$CALLERS,127.0.0.12:$CALLERS" --threads 6 \
    --jobs 100000 --tasks 4 --ms 40 --cpu 500 --pause 20 --attempts 4 --seed 7 --results "$RUN/results"
}
starts_at () { grep -c "^start .* i-[$1]\$" "$RUN/journal"; } # workers
more_starts () { [ "$(starts_at "$1")" -gt "$2" ]; }          # workers count
used () { # workers: one of them gets a run
  wait_for 20 more_starts "$1" "$(starts_at "$1")" || fail "workers $1 are not used"
}
said () { # log state: of the newest line about an evacuation
  grep -h 'event=evacuation ' "$RUN/$1.log" | tail -n 1 | grep -q "state=$2 "
}
gauge () { # address name
  curl -s -m 2 "http://$1:$METRICS/metrics" | sed -n "s/^$2 //p"
}
evacuate () { put_evacuate "zone-$1" ${2+"$2"} || fail "the store does not confirm"; } # a|b [value]
put_back () { # a|b workers
  mark_returned $2
  clear_evacuate "zone-$1" || fail "the store does not confirm"
}

calm () {
  local long
  used 12
  used 34
  ask 1 00000000000000a1 "$(job 4000 16 4000)" > "$RUN/long" & long=$!
  wait_for 20 grep -q '^start 00000000000000a1.* i-1$' "$RUN/journal" || fail "no long run at worker 1"
  evacuate a
  sleep $TARGET; mark_evacuated 1 2
  sleep 1.5
  echo "entries say: $(said entry-1 evacuated && said entry-2 evacuated && echo evacuated), \
gauge $(gauge 127.0.0.11 mulberrydrift_evacuated_domains)"
  echo "guards say: $(said guard-1 evacuated && said guard-2 evacuated && echo evacuated), \
gauges $(gauge 127.0.0.51 mulberrydrift_evacuated) $(gauge 127.0.0.53 mulberrydrift_evacuated)"
  echo "the others work: $(used 34 && echo yes)"
  wait $long
  echo "a job that had started: $(cut -d' ' -f1,2 "$RUN/long"), \
runs $(grep -c '^end 00000000000000a1.* done ' "$RUN/journal") of 16, starts $(grep -c '^start 00000000000000a1' "$RUN/journal")"
}

replaced () {
  send_signal KILL entry-1; send_signal KILL guard-1
  sleep 0.3
  restart entry-1; restart guard-1
  wait_for 20 said guard-1 evacuated || fail "guard-1 is not told"
  wait_for 20 ready 1 || fail "entry-1 is not ready"
  sleep 1.5
  echo "an entry and a guard are replaced: $(said entry-1 evacuated && echo evacuated)"
  put_back a "1 2"
  used 12
  echo "put back into use: $(seen guard-1 event=warmup && echo "with a warm-up")"
}

# Still for the whole time that it has; what it has read from its sockets then is older.
standing () {
  send_signal STOP guard-1
  evacuate a
  sleep $LIMIT; mark_evacuated 1 2
  send_signal CONT guard-1
  wait_for 20 said guard-1 evacuated || fail "guard-1 is not told"
  sleep 1.5
  put_back a "1 2"
  used 12
  echo "a guard that stood still: back in use"
}

cut_off () {
  command_proxy cut e1 both; command_proxy cut e2 both
  sleep 0.7
  evacuate b
  sleep 2
  command_proxy heal '*'
  sleep $((LIMIT - 2)); mark_evacuated 3 4
  wait_for 20 said guard-3 evacuated || fail "guard-3 is not told"
  used 12
  put_back b "3 4"
  used 34
  echo "guards that were cut off from all entries: back in use"
}

# Entries hear of the second request only when the first one has been followed by an outage.
store_away () {
  command_proxy cut s both
  sleep 1
  evacuate a
  send_signal KILL entry-2; sleep 0.3; restart entry-2
  wait_for 20 has_started entry-2 || fail "entry-2 does not start"
  sleep 1.2
  echo "an entry that starts while the store is away: $(ready 2 && echo ready || echo "not ready")"
  command_proxy heal '*'
  sleep $((LIMIT - 2)); mark_evacuated 1 2
  wait_for 20 ready 2 || fail "entry-2 is not ready"
  command_proxy cut s both
  sleep 2.5
  echo "the store is away again: $(said entry-1 evacuated && said guard-2 evacuated && echo "still evacuated")"
  command_proxy heal '*'
  store_mode forget
  put_config 4 /calc/
  wait_for 20 seen entry-1 'config-applied version=4' || fail "version 4 is not applied"
  wait_for 20 seen entry-2 'config-applied version=4' || fail "version 4 is not applied"
  echo "the store has forgotten the record's place: $(said entry-1 evacuated && said entry-2 evacuated && echo "still evacuated")"
}

warned () { seen "$1" 'event=evacuation-malformed domain=zone-b'; }
all_domains () {
  evacuate b '[]'
  sleep $TARGET; mark_evacuated 3 4
  echo "all domains, one with a value of another form: $(ask 1 00000000000000b1 "$(job 40 4)"), \
$(warned entry-1 && warned entry-2 && echo "a warning")"
  put_back b "3 4"
  used 34
}

# zone-b is full for much longer than declared; what waits there does so until its goal, 2.46 s.
while_jobs_wait () {
  local full waits
  send_signal TERM load
  sleep 2
  ask 1 00000000000000c1 "$(job 4000 2 30 8000)" > "$RUN/full" & full=$!
  wait_for 20 started 00000000000000c1 2 || fail "zone-b is not full"
  ask 1 00000000000000c2 "$(job 100 2 600)" > "$RUN/waits" & waits=$!
  wait_for 20 seen entry-1 'job-admitted job=00000000000000c2' || fail "the job does not wait"
  put_back a "1 2"
  wait $waits $full
  echo "put back while a job waits: $(cut -d' ' -f1,2 "$RUN/waits"), \
at $(sed -n 's/^start 00000000000000c2.* i-[12]$/zone-a/p' "$RUN/journal" | sort -u)"
}
started () { [ "$(grep -c "^start $1\\." "$RUN/journal")" -ge "$2" ]; } # job count

unknown () {
  put_evacuate nowhere || fail "the store does not confirm"
  wait_for 20 seen entry-1 'event=evacuation-without-effect domain=nowhere' && echo "an unknown domain: a warning"
  [ "$(gauge 127.0.0.11 mulberrydrift_evacuated_domains)" = 1 ] || fail "the domain is not kept"
  clear_evacuate nowhere || fail "the store does not confirm"
}

run () {
  start_proxied 1
  # Connections of callers do not go through the proxy.
  begin_load
  calm
  replaced
  standing
  cut_off
  store_away
  all_domains
  while_jobs_wait
  unknown
  sleep 1.5 # orders that are carried out late
  judge_runs "$RUN/journal" "$RUN/results" 2> "$RUN/verdict" | grep -o 'twice=[0-9]* false_not_run=[0-9]*\|evacuated=[0-9]*'
  cat "$RUN/verdict"
}

run > "$RUN/out" || { cat "$RUN/out"; exit 1; }
if [ -n "${UPDATE:-}" ]; then cp "$RUN/out" tests/run-evacuate.expected; exit; fi
diff -u tests/run-evacuate.expected "$RUN/out" || { KEEP=1; exit 1; }
