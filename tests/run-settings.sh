#!/usr/bin/env bash
# Settings files that are read while they are written, with real processes: at a running entry and
# guard, and at their start. Guards against a process that ends or takes over half a file because
# the platform rewrites the file in place, and against a start that ends because the file is not
# there yet. Expected output stands in run-settings.expected.
cd "$(dirname "$0")/.."
ENTRIES=1 GUARDS=1
. tests/platform.sh

count () { grep -c "$2" "$RUN/$1.log"; } # name pattern
counted () { [ "$(count "$1" "$2")" -ge "$3" ]; } # name pattern at-least
in_place () { cat > "$RUN/$1.yaml"; } # name: writes standard input to the file without replacing it
ended () { ! running "$1"; }
# byte_by_byte NAME: writes standard input to the file in place, one byte with each call.
byte_by_byte () {
  local byte
  while IFS= read -r -N 1 byte; do printf '%s' "$byte"; sleep 0.005; done > "$RUN/$1.yaml"
}

# rejected NAME WHAT: the process reads the file as it is now and keeps its settings.
rejected () {
  local before
  before=$(count "$1" settings-rejected)
  [ -z "${3:-}" ] || send_signal "$3" "$1"
  wait_for 10 counted "$1" settings-rejected $((before + 1)) || running "$1" || { echo "$1 ended: $2"; return; }
  echo "$1 $(running "$1" && echo runs || echo ended) and $(counted "$1" settings-rejected $((before + 1)) && echo rejects || echo ignores): $2"
}
# taken NAME VALUE WHAT: the whole file takes effect.
taken () {
  local before
  before=$(count "$1" 'settings-read.*applied=grace_s')
  sed "s/^grace_s: .*/grace_s: $2/" "$RUN/$1.whole" | in_place "$1"
  wait_for 10 counted "$1" 'settings-read.*applied=grace_s' $((before + 1)) && echo "$1 takes over: $3" || echo "$1 does not take over: $3"
}

# The file changes while the process has no descriptor to read it.
unreadable () { # name
  local pid limit before
  pid=$(pid_of "$1")
  limit=$(prlimit --pid "$pid" --nofile --noheadings --output SOFT)
  prlimit --pid "$pid" --nofile=3:
  sed 's/^grace_s: .*/grace_s: 6/' "$RUN/$1.whole" | in_place "$1"
  wait_for 10 seen "$1" 'settings-rejected.*Too many open files' && echo "$1 cannot read a changed file"
  before=$(count "$1" 'settings-read.*applied=grace_s')
  prlimit --pid "$pid" --nofile="${limit// /}:"
  wait_for 10 counted "$1" 'settings-read.*applied=grace_s' $((before + 1)) && echo "$1 takes it over later"
}

running_processes () {
  local name lines n before
  for name in entry-1 guard-1; do
    cp "$RUN/$name.yaml" "$RUN/$name.whole"
    : | in_place "$name"
    rejected "$name" "a file without a byte"
    running "$name" || continue
    rejected "$name" "the same after SIGHUP" HUP
    head -c 60 "$RUN/$name.whole" | in_place "$name"
    rejected "$name" "a file cut short within a value"
    taken "$name" 5 "a file written in place"
    { echo 'end_marker: required'; cat "$RUN/$name.whole"; echo ...; } > "$RUN/$name.marked"
    lines=$(wc -l < "$RUN/$name.marked")
    for n in $((lines - 1)) $((lines - 2)); do
      head -n "$n" "$RUN/$name.marked" | in_place "$name"
      rejected "$name" "$((lines - n)) of its lines missing, with an end marker"
    done
    before=$(count "$name" 'settings-read.*applied=grace_s')
    sed 's/^grace_s: .*/grace_s: 3/' "$RUN/$name.marked" | byte_by_byte "$name"
    wait_for 10 counted "$name" 'settings-read.*applied=grace_s' $((before + 1)) && echo "$name takes over: a file written byte by byte"
    mv "$RUN/$name.yaml" "$RUN/$name.away"
    wait_for 10 seen "$name" settings-missing && echo "$name reports that the file is missing"
    sed 's/^grace_s: .*/grace_s: 3/' "$RUN/$name.whole" > "$RUN/$name.new" # as in force
    mv "$RUN/$name.new" "$RUN/$name.yaml"
    taken "$name" 4 "a file that was missing"
    grep -q 'settings-read.*deferred=[^-]' "$RUN/$name.log" && echo "$name took over a part of a file"
    unreadable "$name"
  done
  echo "a job after that: $(post 00000000000000a1 '{"best_effort":true,"spec":"ms=30 cpu=1000","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimated_ms":30}]}')"
}

# Starts NAME (run-entry or run-guard) again on a file in the state that the caller has left.
start_again () { # name
  case $1 in
    entry-1) launch "$1" "$BIN/mulberrydrift" run-entry --config "$RUN/$1.yaml" ;;
    guard-1) launch "$1" "$BIN/mulberrydrift" run-guard --config "$RUN/$1.yaml" ;;
  esac
}
stop () { send_signal TERM "$1"; wait_for 15 ended "$1" || fail "$1 does not stop"; }
starts () { # name what [writer]: the file is written while the process waits for it
  local waits starts
  waits=$(count "$1" settings-wait) starts=$(count "$1" event=started)
  start_again "$1"
  wait_for 10 counted "$1" settings-wait $((waits + 1)) || { echo "$1 ended: $2"; return; }
  "${3:-in_place}" "$1" < "$RUN/$1.marked"
  wait_for 10 counted "$1" event=started $((starts + 1)) || { echo "$1 does not start: $2"; return; }
  echo "$1 starts: $2"
  stop "$1"
}

starting_processes () {
  local name
  for name in entry-1 guard-1; do
    stop "$name"
    rm "$RUN/$name.yaml"
    starts "$name" "the file is missing for a while"
    : | in_place "$name"
    starts "$name" "the file is empty for a while"
    : | in_place "$name"
    starts "$name" "the file is written byte by byte" byte_by_byte
    head -n 6 "$RUN/$name.marked" | in_place "$name"
    starts "$name" "the file is cut short for a while"
    head -n -1 "$RUN/$name.marked" | in_place "$name"
    starts "$name" "only the end marker is missing for a while"
  done
}

final_starts () {
  local out=$RUN/final
  sed 's/^grace_s: .*/grace_s: many/' "$RUN/guard-1.marked" > "$RUN/bad.yaml"
  "$BIN/mulberrydrift" run-guard --config "$RUN/bad.yaml" > "$out" 2>&1
  echo "a whole file with a wrong value: exit $?, $(grep -c 'grace_s: not a number' "$out") reason, waited $(grep -c settings-wait "$out") times"
  "$BIN/mulberrydrift" check-config "$RUN/none.yaml" > "$out"
  echo "check-config of a missing file: exit $?, $(sed "s|$RUN/||" "$out")"
  "$BIN/mulberrydrift" run-guard --config "$RUN/none.yaml" > "$out" 2>&1
  echo "a start whose file stays missing: exit $?, $(grep -o 'event=start step=settings .*' "$out" | sed "s|$RUN/||")"
  rm -f "$out" # lines of an earlier process would end the wait below
  "$BIN/mulberrydrift" run-guard --config "$RUN/none.yaml" > "$out" 2>&1 &
  local pid=$! status
  wait_for 10 grep -qs settings-wait "$out"
  kill -TERM "$pid"
  wait "$pid"
  status=$?
  echo "SIGTERM ends such a start: $([ $status = 0 ] || [ $status = 143 ] && ! grep -q step=settings.*no.usable "$out" && echo yes || echo "status $status")"
}

# Every template, filled in and cut after any of its lines.
templates () {
  local role lines n valid=0
  for role in run-entry run-guard; do
    sed -e '/^{{#.*}}.*/d' -e 's/^{{\/[a-z]*}}//' \
      -e 's/{{\(listen\.[a-z_]*\|platform\.address\|app\)}}/127.0.0.1:1/g' -e 's/{{ip}}/127.0.0.1/g' \
      -e 's/{{seeds}}//g' -e 's/{{internal_port_range\.0}}/7000/g' -e 's/{{bounds\.[a-z_]*}}/100/g' \
      -e 's/{{limits\.cpu_share}}/0.12/g' \
      -e 's/{{[a-z_]*}}/x/g' "deploy/$role.yaml" > "$RUN/template"
    "$BIN/mulberrydrift" check-config "$RUN/template"
    echo "$role.yaml filled in: exit $?"
    lines=$(wc -l < "$RUN/template")
    for n in $(seq 0 $((lines - 1))); do
      head -n "$n" "$RUN/template" > "$RUN/cut"
      ! "$BIN/mulberrydrift" check-config "$RUN/cut" > /dev/null 2>&1 || valid=$((valid + 1))
    done
  done
  echo "templates cut short that are valid: $valid"
}

run () {
  templates
  start_platform
  running_processes
  starting_processes
  final_starts
}

run > "$RUN/out" || { cat "$RUN/out"; exit 1; }
if [ -n "${UPDATE:-}" ]; then cp "$RUN/out" tests/run-settings.expected; exit; fi
diff -u tests/run-settings.expected "$RUN/out" || { KEEP=1; exit 1; }
