#!/usr/bin/env bash
# Entries and guards on stand-ins of the users' platform: a job of several steps, queue
# states, a configuration that comes and goes, a worker that leaves, a lost entry, a
# lost guard, lost orders, a store that is away. Expected output stands in
# run-platform.expected; guards against a path that works on calm days only.
cd "$(dirname "$0")/.."
. tests/platform.sh

JOB='{"best_effort":true,"spec":"ms=30 cpu=1000","steps":[{"count":3,"cpu":1000,"mem_mb":64,"estimated_ms":30},{"count":2,"cpu":1000,"mem_mb":64,"estimated_ms":30,"depends_on":[0]}]}'

run () {
  start_platform
  echo "a job of two steps: $(post 00000000000000a1 "$JOB")"
  echo "in order: $(awk '/^start .*\.1\.[01] 1/ { if (done < 3) print "no" } /^end .*\.0\.[012] 1 done/ { done++ }' "$RUN/journal" | sort -u | grep -c no) early starts"
  echo "no such queue: $(curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Host: other.example' "http://127.0.0.11:$CALLERS/calc/")"
  echo "pending: $(curl -s -m 5 -H 'Host: jobs.example' "http://127.0.0.11:$CALLERS/calc/")"
  echo "unknown job: $(curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' "http://127.0.0.11:$CALLERS/calc/00000000000000ff")"
  echo "a job that must be stored: $(post 00000000000000a2 "${JOB/\"best_effort\":true,/}")"
  echo "larger than any worker: $(post 00000000000000a3 "${JOB//\"cpu\":1000/\"cpu\":900000}")"
  echo "a task that fails: $(post 00000000000000a4 "${JOB/cpu=1000/cpu=1000 fail}")"
  local gang=$(sed 's/"estimated_ms":30}/"estimated_ms":30,"gang":true}/' <<< "$JOB")
  echo "a gang: $(post 00000000000000a7 "$gang")"
  echo "a gang that fails: $(post 00000000000000a8 "${gang/cpu=1000/cpu=1000 fail}")"
  echo "runs of its members: $(sed -n 's/^start 00000000000000a8\.0\.0\.[0-2] \([0-9]*\) .*/\1/p' "$RUN/journal" | sort | uniq -c | xargs)"
  echo "longer than its queue's time-out, the caller waits: $(post 00000000000000a6 "${JOB/ms=30/ms=900}")"
  post 00000000000000a9 "${JOB/ms=30/ms=1500}" > "$RUN/cancelled" &
  local cancelled=$!
  wait_for 5 grep -q '^start 00000000000000a9' "$RUN/journal" || fail "the job to cancel did not start"
  ask () { curl -s -m 5 -X "$1" -w ' %{http_code}' -H 'Host: jobs.example' "http://127.0.0.11:$CALLERS/calc/00000000000000a9"; }
  echo "state of a job that runs: $(ask GET)"
  echo "it is cancelled: $(ask DELETE)"
  wait "$cancelled"
  echo "its caller reads: $(cat "$RUN/cancelled")"
  stopped () { [ "$(grep -c '^end 00000000000000a9.* stopped' "$RUN/journal")" = 3 ]; }
  wait_for 5 stopped && echo "its runs are stopped"
  echo "its request is repeated: $(post 00000000000000a9 "${JOB/ms=30/ms=1500}")"
  echo "a job that was done is repeated: $(post 00000000000000a1 "$JOB")"
  echo "starts of both: $(grep -c '^start 00000000000000a9' "$RUN/journal") and $(grep -c '^start 00000000000000a1' "$RUN/journal")"
  echo "its state after that: $(ask GET)"
  echo "a run time out of range: $(post 00000000000000af "${JOB//_ms\":30/_ms\":9223372036854775807}")"
  echo "a negative one: $(post 00000000000000b0 "${JOB//_ms\":30/_ms\":-9223372036854775808}")"
  echo "not a job: $(post 00000000000000a5 'nonsense')"

  put_config 4 /calc/ /advised/
  wait_for 5 seen entry-1 'config-applied version=4' || fail "version 4 is not applied"
  advisor_allows i-2
  local advised=${JOB/cpu=1000/cpu=1000 advised}
  echo "a queue with an advisor: $(QUEUE=/advised/ post 00000000000000aa "$advised")"
  echo "its starts: $(sed -n 's/^start 00000000000000aa.* //p' "$RUN/journal" | sort | uniq -c | xargs), rejected $(cat "$RUN"/guard-*.log | grep -c start-rejected)"
  advisor_allows nonsense
  # A longer estimate gives the job time for several calls on a busy machine.
  QUEUE=/advised/ post 00000000000000ae "${advised//_ms\":30/_ms\":300}" > "$RUN/advised" &
  local asked=$!
  wait_for 5 seen entry-1 'advice-ignored job=00000000000000ae' || fail "the advisor was not asked"
  advisor_allows i-2
  wait "$asked"
  echo "its advisor cannot be understood for a moment: $(cat "$RUN/advised")"
  advisor_allows nobody
  echo "its advisor allows no worker: $(QUEUE=/advised/ post 00000000000000ab "$advised")"

  sed -i 's/^caller_threads: 64/caller_threads: 65/; $a remote_factor: 2' "$RUN/entry-1.yaml"
  kill -HUP "$(pid_of entry-1)"
  wait_for 5 seen entry-1 'settings-read trigger=signal applied=remote_factor deferred=caller_threads' \
    || fail "SIGHUP does not make it read its settings"
  echo 'remote_factor: none' >> "$RUN/guard-1.yaml"
  wait_for 5 seen guard-1 'settings-rejected trigger=file' || fail "the changed file is not seen"
  sed -i '$d' "$RUN/guard-1.yaml"
  echo "after settings that are not valid: $(post 00000000000000ad "$JOB")"

  store_mode forget
  put_config 8 /calc/ /added/
  wait_for 5 seen entry-1 'config-applied version=8' || fail "version 8 is not applied"
  put_config 5 /calc/
  put_config 9 /calc/ /added/ /more/ /advised/
  wait_for 5 seen entry-1 'config-applied version=9' || fail "version 9 is not applied"
  seen entry-1 'config-applied version=5' && fail "an older version was applied"
  echo "an added queue: $(curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' "http://127.0.0.11:$CALLERS/more/")"

  store_mode silent
  echo "while the store is silent: $(post 00000000000000b1 "$JOB")"
  echo "while its advisor is silent: $(QUEUE=/advised/ post 00000000000000ac "$advised")"
  store_mode normal

  worker_mode 1 drain
  wait_for 5 seen entry-1 'upstream-state guard=guard-1 worker=i-1 state=2' || fail "the drain is not seen"
  : > "$RUN/journal"
  for i in 1 2 3 4; do post "00000000000000c$i" "$JOB" > /dev/null; done
  echo "starts on others while a worker drains: $(grep -c '^start' "$RUN/journal")"
  worker_mode 1 normal
  wait_for 5 workers_seen 1 4 || fail "the worker is not back"

  kill -KILL "$(pid_of guard-2)"
  echo "with a lost guard: $(post 00000000000000d1 "$JOB")"
  worker_mode 2 quiet
  start_guard 2
  wait_for 10 workers_seen 1 5 || fail "the guard is not back"
  wait_for 5 seen guard-2 event=worker-remembered && echo "a new guard remembers its worker"
  worker_mode 2 normal

  kill -KILL "$(pid_of entry-2)"
  echo "with a lost entry: $(post 00000000000000e1 "$JOB")"
  start_entry 2
  wait_for 20 workers_seen 2 6 || fail "the entry does not see every worker"

  worker_mode 2 lost
  "$BIN/tests/jobload" --servers "127.0.0.11:$CALLERS,127.0.0.12:$CALLERS" --threads 6 --jobs 12 \
    --results "$RUN/results" --seed 77 > "$RUN/load.out"
  worker_mode 2 normal
  sleep 3 # orders that are carried out late
  echo "with lost orders: $(judge_runs "$RUN/journal" "$RUN/results" 2>&1 | grep -o 'twice=.* false_not_run=[0-9]*')"

  # The caller of a request that a paused entry has not read gives up and repeats the job.
  kill -STOP "$(pid_of entry-1)"
  curl -s -m 0.3 -o /dev/null -H 'Host: jobs.example' -d "${JOB/ms=30/ms=400}" \
    "http://127.0.0.11:$CALLERS/calc/00000000000000e9"
  post 00000000000000e9 "${JOB/ms=30/ms=400}" 2 > "$RUN/repeated" &
  local repeated=$!
  wait_for 5 grep -q '^start 00000000000000e9' "$RUN/journal" || fail "the repeated job did not start"
  kill -CONT "$(pid_of entry-1)"
  wait_for 5 seen entry-1 'request-dropped job=00000000000000e9' || fail "the request is not dropped"
  seen entry-1 'job-admitted job=00000000000000e9' && fail "a request without a caller is admitted"
  wait "$repeated"
  echo "repeated while its entry was paused: $(cat "$RUN/repeated"), starts $(grep -c '^start 00000000000000e9' "$RUN/journal")"

  post 00000000000000f1 "${JOB/ms=30/ms=400}" > "$RUN/last" &
  local request=$!
  wait_for 5 grep -q '^start 00000000000000f1' "$RUN/journal" || fail "the last job did not start"
  kill -TERM "$(pid_of entry-1)"
  wait "$request"
  echo "answered while its entry leaves: $(cat "$RUN/last")"

  # Callers that go on must not keep an entry from leaving.
  "$BIN/tests/jobload" --servers "127.0.0.12:$CALLERS" --threads 24 --jobs 400 --ms 300 --attempts 1 \
    --seed 78 --results "$RUN/leaving" > "$RUN/load.out" &
  local load=$!
  wait_for 5 seen entry-2 'job-answered job=0000004e' || fail "the load does not run"
  kill -TERM "$(pid_of entry-2)"
  gone () { ! running entry-2; }
  wait_for 60 gone || fail "entry-2 does not leave"
  wait_for 5 seen entry-2 event=stopped && echo "an entry leaves under load"
  echo "requests that it cut off: $(grep -c ' unknown 0 ' "$RUN/leaving")"
  kill "$load" 2> /dev/null || true
}

run > "$RUN/out" || { cat "$RUN/out"; exit 1; }
if [ -n "${UPDATE:-}" ]; then cp "$RUN/out" tests/run-platform.expected; exit; fi
diff -u tests/run-platform.expected "$RUN/out"
