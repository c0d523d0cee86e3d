#!/usr/bin/env bash
# Ends of real processes: what the log says about them and with which status they end.
#
# Guards against processes that end without a trace, against a handler that changes the exit
# status, against ends that fail because threads still run, and against ends that wait for a slow
# reader of the log for longer than the grace period.
cd "$(dirname "$0")/.."
. tests/platform.sh
ENTRIES=1 GUARDS=1

# The sanitizer's handlers would change the exit status.
export ASAN_OPTIONS="handle_segv=0:handle_sigbus=0:handle_sigfpe=0:handle_sigill=0${ASAN_OPTIONS:+:$ASAN_OPTIONS}"

# await NAME: wait for a process that this script started and set status.
# A process that ended before its start time could be read has none in its file.
ended () { local start; read -r _ start < "$RUN/$1.pid"; [ -z "$start" ] || ! running "$1"; }
await () {
  wait_for 60 ended "$1" || fail "$1 does not end"
  { wait "$(pid_of "$1")"; status=$?; } 2> /dev/null
}
# As in platform.sh, but the process stays a job of the shell, so that its status can be read.
launch () { # name command...
  local name=$1; shift
  echo "event=launched" >> "$RUN/$name.log"
  "$@" >> "$RUN/$name.log" 2>&1 &
  echo "$! $(start_time $!)" > "$RUN/$name.pid"
}
lines () { grep -c "$2" "$RUN/$1.log"; } # name pattern
well_formed='^time=[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}\.[0-9]{3}Z level=error node=[a-z0-9-]+ event=fatal-signal pid=[0-9]+ signal=[0-9]+ name=SIG[A-Z]+ code=-?[0-9]+ (address=0x[0-9a-f]+|sender_pid=[0-9]+) sp=0x[0-9a-f]+ pc=0x[0-9a-f]+ offset=(-|0x[0-9a-f]+) tid=[0-9]+ thread=[^ ]+ step=running uptime_ms=[0-9]+$'

fatal_signals () {
  local signal name
  for signal in SEGV BUS FPE ILL ABRT SYS; do
    for name in entry-1 guard-1; do
      : > "$RUN/$name.log"
      "start_${name%-1}" 1
      wait_for 20 seen "$name" event=started || fail "$name did not start"
      wait_for 20 seen "$name" 'event=\(config-applied\|worker-reached\)' || fail "$name does not run"
      kill "-$signal" "$(pid_of "$name")"
      await "$name"
      [ "$status" = $((128 + $(kill -l "$signal"))) ] || fail "SIG$signal: $name ended with $status"
      [ "$(lines "$name" event=fatal-signal)" = 1 ] || fail "SIG$signal: not one line of $name"
      grep -qE "$well_formed" "$RUN/$name.log" || fail "SIG$signal: the line of $name is malformed"
      [ "$(lines "$name" event=process-begin)" = 1 ] || fail "$name has no first line"
    done
  done
  echo "fatal signals: one line each, status unchanged"
}

failed_start () {
  { cat "$RUN/entry-1.yaml"; echo "remote_factor: none"; } > "$RUN/wrong.yaml"
  launch wrong "$BIN/mulberrydrift" run-entry --config "$RUN/wrong.yaml"
  await wrong
  [ "$status" = 1 ] || fail "a start with wrong settings does not fail"
  seen wrong 'event=process-end .* status=1 reason=start-failed step=settings' \
    || fail "a failed start leaves no last line"
  echo "a failed start: status and step are logged"
}

start_both () {
  : > "$RUN/entry-1.log"
  : > "$RUN/guard-1.log"
  start_entry 1
  start_guard 1
  wait_for 20 ready 1 || fail "entry-1 is not ready"
}

# Signals without a pause until the process has ended.
flood () { # name signal...
  local name=$1 pid signal
  pid=$(pid_of "$name")
  shift
  while running "$name"; do
    for signal in "$@" "$@" "$@" "$@" "$@" "$@" "$@" "$@"; do
      kill "-$signal" "$pid" 2> /dev/null || return 0
    done
  done
}

ended_in_order () { # name
  await "$1"
  [ "$status" = 0 ] || fail "$1 ended with $status"
  [ "$(lines "$1" event=process-end)" = 1 ] || fail "$1 has no last line, or two"
  tail -n 1 "$RUN/$1.log" | grep -q 'event=process-end .* status=0 reason=signal step=leaving signal=15 ' \
    || fail "the last line of $1 is another one: $(tail -n 1 "$RUN/$1.log")"
}

# Guards against a signal handler that uses what the end has freed, and against ends that fail
# while callers' threads run and log.
ends_under_load () {
  local round load
  for round in 1 2 3 4; do
    start_both
    "$BIN/tests/jobload" --servers "127.0.0.11:$CALLERS" --threads 24 --jobs 400 --ms 20 \
      --attempts 1 --seed "$round" --results "$RUN/load" > "$RUN/load.out" 2>&1 &
    load=$!
    wait_for 20 seen entry-1 event=job-answered || fail "the load does not run"
    kill -TERM "$(pid_of entry-1)"
    flood entry-1 HUP TERM INT
    ended_in_order entry-1
    kill -TERM "$(pid_of guard-1)"
    flood guard-1 HUP TERM INT
    ended_in_order guard-1
    kill "$load" 2> /dev/null
    wait "$load" 2> /dev/null
  done
  echo "ends under load, with further signals: status 0, one last line"
}

ms_of () { # name pattern: time of the last such line
  date -d "$(grep "$2" "$RUN/$1.log" | tail -n 1 | sed 's/.*time=\([^ ]*\).*/\1/')" +%s%3N
}

# The guard's loop ends a second before the platform's kill; what follows must be shorter. A busy
# machine delays one try, not three.
idle_connection () {
  local round took best=999999
  for round in 1 2 3; do
    start_both
    exec 9<> "/dev/tcp/${REGISTER_1%:*}/${REGISTER_1#*:}"
    kill -TERM "$(pid_of guard-1)"
    await guard-1
    exec 9>&-
    [ "$status" = 0 ] || fail "guard-1 ended with $status"
    took=$(($(ms_of guard-1 event=process-end) - $(ms_of guard-1 event=stopped)))
    [ "$took" -ge "$best" ] || best=$took
    kill -KILL "$(pid_of entry-1)"
    await entry-1
  done
  [ "$best" -lt 1000 ] || fail "a guard with an idle connection ended after $best ms"
  echo "an idle connection does not delay the end of a guard"
}

# Takes 4 KB every 150 ms, less than an entry under load logs, and prints a line for each.
read_slowly () { while [ -n "$(head -c 4096 | tr -d '\0')" ]; do echo; sleep 0.15; done; }

# Guards against a time limit for each write only: with a reader that takes a little now and then,
# the end took as long as the backlog, here 56 reads. The platform kills after 6 s (grace_s), which are
# 40 reads; a busy machine makes them fewer.
slow_reader () {
  local round load before taken fewest=999999
  for round in 1 2 3; do
    start_both
    kill -KILL "$(pid_of entry-1)"
    await entry-1
    mkfifo "$RUN/fifo.$round"
    read_slowly < "$RUN/fifo.$round" > "$RUN/reads.$round" &
    "$BIN/mulberrydrift" run-entry --config "$RUN/entry-1.yaml" > "$RUN/fifo.$round" 2> /dev/null &
    echo "$! $(start_time $!)" > "$RUN/entry-1.pid"
    wait_for 20 ready 1 || fail "entry-1 is not ready"
    "$BIN/tests/jobload" --servers "127.0.0.11:$CALLERS" --threads 48 --jobs 20000 --ms 1 \
      --attempts 1 --seed "$round" --results "$RUN/load" > "$RUN/load.out" 2>&1 &
    load=$!
    sleep 4
    kill "$load" 2> /dev/null
    wait "$load" 2> /dev/null
    before=$(wc -l < "$RUN/reads.$round")
    kill -TERM "$(pid_of entry-1)"
    await entry-1
    [ "$status" = 0 ] || fail "entry-1 ended with $status"
    taken=$(($(wc -l < "$RUN/reads.$round") - before))
    [ "$taken" -ge "$fewest" ] || fewest=$taken
    kill -KILL "$(pid_of guard-1)"
    await guard-1
  done
  [ "$fewest" -lt 40 ] || fail "an entry whose log is read slowly ended after $fewest reads"
  echo "a slow reader of the log does not delay the end beyond the grace period"
}

STRAY="HUP USR1 USR2 ALRM PIPE XFSZ"

# Sends signals that a daemon has no use for, or that reload its settings, from its first line on.
endure () { # name pattern-of-readiness
  local name=$1 round=0 signal
  wait_for 20 seen "$name" event=process-begin || fail "$name has no first line"
  until [ $round -ge 200 ] && seen "$name" "$2"; do
    for signal in $STRAY; do
      kill "-$signal" "$(pid_of "$name")" 2> /dev/null || break 2
    done
    round=$((round + 1))
    [ $round -lt 20000 ] || fail "$name does not start while it gets signals"
  done
  running "$name" || fail "$name ended by a signal that it has no use for"
  kill -TERM "$(pid_of "$name")"
  await "$name"
  [ "$status" = 0 ] || fail "$name ended with $status"
}

stray_signals () {
  local name
  for name in entry-1 guard-1; do
    : > "$RUN/$name.log"
    "start_${name%-1}" 1
    endure "$name" event=started
  done
  set -- $(free_ports 4)
  cat > "$RUN/entry.yaml" <<YAML
role: entry
name: entry-9
region: lusitania
failure_domain: lusitania-a
log_address: 127.0.0.1:$4
internal_address: 127.0.0.1:$1
caller_address: 127.0.0.1:$2
operator_address: 127.0.0.1:$3
drain_timeout_ms: 500
YAML
  cat > "$RUN/guard.yaml" <<YAML
role: guard
name: worker-09
region: lusitania
failure_domain: lusitania-a
log_address: 127.0.0.1:$4
upstream_address: 127.0.0.1:$1
pool: relogio-calc
drain_timeout_ms: 500
YAML
  for name in entry guard; do
    launch "$name" "$BIN/mulberrydrift" "$name" --config "$RUN/$name.yaml"
    endure "$name" event=started
  done
  echo "stray signals end none of the four daemons"
}

# Guards against lines of the log that go to a peer, whose socket got a closed descriptor's number.
closed_descriptors () {
  local fd target
  start_both
  kill -KILL "$(pid_of entry-1)"
  await entry-1
  "$BIN/mulberrydrift" run-entry --config "$RUN/entry-1.yaml" <&- >&- 2>&- &
  echo "$! $(start_time $!)" > "$RUN/entry-1.pid"
  wait_for 20 ready 1 || fail "an entry without standard descriptors is not ready"
  for fd in 0 1 2; do
    target=$(readlink "/proc/$(pid_of entry-1)/fd/$fd")
    [ "$target" = /dev/null ] || fail "descriptor $fd of an entry is $target"
  done
  kill -KILL "$(pid_of entry-1)"
  await entry-1
  echo "closed standard descriptors are opened"
}

# A log that is a file at its size limit must not end the process.
full_log () {
  (ulimit -f 1; exec "$BIN/mulberrydrift" run-entry --config "$RUN/entry-1.yaml") \
    > "$RUN/full.log" 2>&1 &
  echo "$! $(start_time $!)" > "$RUN/full.pid"
  wait_for 20 ready 1 || fail "an entry whose log is full is not ready"
  curl -s -m 5 -o /dev/null -H 'Host: jobs.example' -d nonsense "http://127.0.0.11:$CALLERS/calc/1"
  sleep 0.2
  running full || fail "a log at its size limit ends the process"
  kill -KILL "$(pid_of full)" "$(pid_of guard-1)"
  echo "a log at its size limit ends no process"
}

plan_ports
start_store
wait_for 5 curl -s -m 1 -o /dev/null "http://$STORE/control" || fail "the store did not start"
put_config 3 /calc/
start_worker 1
fatal_signals
failed_start
ends_under_load
idle_connection
slow_reader
stray_signals
closed_descriptors
full_log
