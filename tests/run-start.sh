#!/usr/bin/env bash
# Starts of real processes on a host that is not ready: each port held by another socket for a
# while, or an address that the host does not have. Guards against a process that ends at once,
# without the reason, where the reason passes, against one that its metrics port stops, against one
# that announces itself before its ports are open, against SIGTERM that ends a waiting start without a
# last line, and against failed starts without a line that says why. Expected output stands in
# run-start.expected.
cd "$(dirname "$0")/.."
ENTRIES=1 GUARDS=1
. tests/platform.sh

ABSENT=192.0.2.1 # reserved for documentation, so no host has it
ended () { ! running "$1"; }
has_started () { seen "$1" event=started; }

hold () { # address: another process listens there
  launch holder "$BIN/tests/platform-store" --listen "$1"
  wait_for 5 curl -s -m 1 -o /dev/null "http://$1/control" || fail "$1 cannot be held"
}
release () { send_signal KILL holder; wait_for 5 ended holder; }
# clear NAME: stops the process and forgets its lines.
clear_process () {
  send_signal KILL "$1"
  wait_for 5 ended "$1"
  rm -f "$RUN/$1.log"
}

# busy NAME ADDRESS STEP COMMAND...: start NAME by COMMAND while ADDRESS is held.
busy () {
  local name=$1 address=$2 step=$3
  shift 3
  hold "$address"
  "$@"
  wait_for 10 seen "$name" "listen-wait step=$step address=$address errno=98 reason=\"Address already in use\"" \
    || echo "$name does not tell that $step waits"
  # Ten attempts later.
  sleep 1
  running "$name" && ! has_started "$name" && echo "$name waits: $step" || echo "$name does not wait: $step"
  grep -qE 'event=(registered|readiness|started|entry-reached)' "$RUN/$name.log" && echo "$name announced itself"
  echo "lines about it: $(grep -c listen-wait "$RUN/$name.log")"
  release
  wait_for 20 has_started "$name" && echo "$name starts" || echo "$name does not start: $step"
  clear_process "$name"
}

again () { # name role: start on the settings file that is there
  launch "$1" "$BIN/mulberrydrift" "$2" --config "$RUN/$1.yaml"
}
with_metrics () { # name role address: the same with metrics there
  clear_process "$1"
  sed -i '/^metrics_address/d' "$RUN/$1.yaml"
  echo "metrics_address: $3" >> "$RUN/$1.yaml"
  again "$1" "$2"
}

metrics () { # name role address
  hold "$3"
  with_metrics "$1" "$2" "$3"
  wait_for 10 has_started "$1" && echo "$1 starts while its metrics port is held" || echo "$1 does not start without metrics"
  wait_for 10 seen "$1" "metrics-unavailable address=$3 errno=98" && echo "$1 warns"
  release
  wait_for 10 curl -sf -m 2 -o /dev/null "http://$3/metrics" && echo "$1 serves metrics later" || echo "$1 has no metrics"
  clear_process "$1"
  with_metrics "$1" "$2" "$ABSENT:9464"
  wait_for 10 has_started "$1" && echo "$1 starts without the address of its metrics" || echo "$1 does not start without it"
  wait_for 10 seen "$1" "metrics-unavailable address=$ABSENT:9464 errno=99" && echo "$1 warns"
  clear_process "$1"
  sed -i '/^metrics_address/d' "$RUN/$1.yaml"
}

# absent NAME ROLE SETTING STEP: the host has no such address. No grace period, so that the wait is
# short.
absent () {
  clear_process "$1"
  sed -e "s/^$3: .*/$3: $ABSENT:7000/" -e 's/^grace_s: .*/grace_s: 0/' "$RUN/$1.yaml" > "$RUN/absent.yaml"
  "$BIN/mulberrydrift" "$2" --config "$RUN/absent.yaml" > "$RUN/absent.log" 2>&1
  echo "$1 without its $3: exit $?, $(grep -c listen-wait "$RUN/absent.log") warning, $(grep -o "event=start step=$4 peer=$ABSENT:7000 detail=.*errno 99\"" "$RUN/absent.log")"
}

stopped_while_waiting () { # name role setting
  local pid
  sed -e "s/^$3: .*/$3: $ABSENT:7000/" "$RUN/$1.yaml" > "$RUN/absent.yaml"
  rm -f "$RUN/absent.log" # lines of an earlier process would end the wait below
  "$BIN/mulberrydrift" "$2" --config "$RUN/absent.yaml" > "$RUN/absent.log" 2>&1 &
  pid=$!
  wait_for 10 grep -qs listen-wait "$RUN/absent.log"
  kill -TERM "$pid"
  wait "$pid"
  echo "$1 is stopped while it waits: exit $?, $(tail -n 1 "$RUN/absent.log" | grep -o 'event=process-end .*' | sed 's/pid=[0-9]* //; s/ sender_pid=.*//')"
}

# Nobody reads the log, and the pipe is full.
unread_log () {
  clear_process entry-1
  mkfifo "$RUN/pipe"
  exec 8<> "$RUN/pipe"
  dd if=/dev/zero of="$RUN/pipe" oflag=nonblock bs=4096 count=10000 2> /dev/null
  "$BIN/mulberrydrift" run-entry --config "$RUN/entry-1.yaml" >&8 2> /dev/null &
  local pid=$!
  wait_for 10 curl -s -m 1 -o /dev/null "http://127.0.0.11:$READY/v1/readyz" \
    && echo "entry-1 starts while its log is not read" || echo "entry-1 waits for the reader of its log"
  kill -KILL "$pid"
  wait "$pid" 2> /dev/null
  exec 8>&-
}

# The daemons of the own interface start through the same code.
own_entry () {
  set -- $(free_ports 4)
  cat > "$RUN/own.yaml" <<YAML
role: entry
name: own
region: r
failure_domain: r-a
log_address: 127.0.0.1:$1
internal_address: 127.0.0.1:$2
caller_address: 127.0.0.1:$3
operator_address: 127.0.0.1:$4
caller_threads: 8
YAML
  busy own "127.0.0.1:$2" listen-internal again own entry
  busy own "127.0.0.1:$3" listen-callers again own entry
  busy own "127.0.0.1:$4" listen-operators again own entry
  stopped_while_waiting own entry caller_address
}

# failed NAME COMMAND...: a start that fails says why, in a line with event=, before its last line.
failed () {
  local name=$1
  shift
  "$@" > "$RUN/failed.log" 2>&1
  echo "$name: exit $?, $(grep -oE 'event=(start|start-failed|fatal-signal) .*' "$RUN/failed.log" \
    | sed "s|$RUN/||g; s/ pid=.*//" | tr '\n' ' ')"
}

own_failures () {
  sed -e 's/^role: .*/role: guard/; /^internal/d; /^caller/d; /^operator/d' "$RUN/own.yaml" > "$RUN/own-guard.yaml"
  printf 'upstream_address: 127.0.0.1:1\npool: p\n' >> "$RUN/own-guard.yaml"
  failed "entry with the settings of a guard" "$BIN/mulberrydrift" entry --config "$RUN/own-guard.yaml"
  failed "guard with the settings of an entry" "$BIN/mulberrydrift" guard --config "$RUN/own.yaml"
  failed "entry with the settings of run-entry" "$BIN/mulberrydrift" entry --config "$RUN/entry-1.yaml"
  failed "guard with the settings of run-guard" "$BIN/mulberrydrift" guard --config "$RUN/guard-1.yaml"
  failed "entry with an unknown option" "$BIN/mulberrydrift" entry --nonsense
  failed "guard with an unknown option" "$BIN/mulberrydrift" guard --nonsense
  failed "entry without an event loop" own_without_descriptors entry "$RUN/own.yaml"
  failed "guard without an event loop" own_without_descriptors guard "$RUN/own-guard.yaml"
  # The address space ends somewhere between the libraries and the last thread.
  [ "$(basename "$BIN")" = release ] || { echo "guards without memory: a line for each failed start"; return; }
  local kb silent=
  for kb in $(seq 40000 2500 90000); do
    rm -f "$RUN/poor.log"
    (ulimit -v "$kb"; launch poor "$BIN/mulberrydrift" guard --config "$RUN/own-guard.yaml")
    wait_for 10 started_or_ended poor
    send_signal KILL poor
    grep -q event=process-begin "$RUN/poor.log" || continue # the loader found no memory
    grep -q event=fatal-signal "$RUN/poor.log" && silent="$silent $kb"
    grep -qE 'event=(start|started) ' "$RUN/poor.log" || silent="$silent $kb"
  done
  echo "guards without memory: ${silent:-a line for each failed start}"
}
started_or_ended () { has_started "$1" || ended "$1"; }
# Descriptors 0 to 3 are the standard ones and that of the settings, which is closed again.
own_without_descriptors () { (ulimit -n 4; exec "$BIN/mulberrydrift" "$1" --config "$2"); }

run () {
  plan_ports
  start_store
  wait_for 5 curl -s -m 1 -o /dev/null "http://$STORE/control" || fail "the store did not start"
  put_config 3 /calc/
  local ip=127.0.0.11
  busy entry-1 "$ip:$INNER" listen-internal start_entry 1
  busy entry-1 "$ip:$CALLERS" listen-callers start_entry 1
  busy entry-1 "$ip:$READY" listen-readiness start_entry 1
  busy guard-1 "$REGISTER_1" listen-registration start_guard 1
  metrics entry-1 run-entry "$VIA_1"
  metrics guard-1 run-guard "$VIA_1"
  absent entry-1 run-entry internal_address listen-internal
  absent entry-1 run-entry ready_address listen-readiness
  absent guard-1 run-guard register_address listen-registration
  stopped_while_waiting entry-1 run-entry caller_address
  stopped_while_waiting guard-1 run-guard register_address
  unread_log
  own_entry
  own_failures
}

run > "$RUN/out" || { cat "$RUN/out"; exit 1; }
if [ -n "${UPDATE:-}" ]; then cp "$RUN/out" tests/run-start.expected; exit; fi
diff -u tests/run-start.expected "$RUN/out" || { KEEP=1; exit 1; }
