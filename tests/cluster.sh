# cluster.sh -- starts the processes of a small installation on loopback.
#
# Sourced by the scripted runs and the demonstration. Every process writes its
# log below $RUN; ports are chosen by the system: a process that must be known
# by address gets a port from tests/freeport, which no other run draws before
# this shell has ended. All processes
# that were started here are ended, by id, when the script ends; the id of one that has
# ended before may belong to another program's process or thread by then.

set -u
BIN=${MD_BIN:-build/release}
RUN=$(mktemp -d)
PIDS=""

cleanup () {
  local status=$?
  for pid in $(jobs -pr); do
    case " $PIDS " in *" $pid "*) kill -KILL "$pid" 2>/dev/null ;; esac
  done
  wait 2>/dev/null
  [ "${KEEP_RUN:-}" = 1 ] && echo "logs kept in $RUN" >&2 || rm -rf "$RUN"
  exit $status
}
trap cleanup EXIT

fail () { echo "FAIL: $*"; exit 1; }

# wait_for SECONDS COMMAND...: polls until the command succeeds. The limit only
# ends a run that hangs; it is far above any expected time.
wait_for () {
  local limit=$1 n=0
  shift
  until "$@" > /dev/null 2>&1; do
    n=$((n + 1))
    [ $n -gt $((limit * 20)) ] && { echo "gave up waiting for: $*"; return 1; }
    sleep 0.05
  done
}

free_ports () { "$BIN/tests/freeport" "$1" $$; }

listening () { sed -n 's/^listening //p' "$1" | head -n 1; }

# start NAME COMMAND...: starts a process; sets PID.
start () {
  local name=$1
  shift
  "$@" > "$RUN/$name.out" 2>> "$RUN/$name.log" &
  PID=$!
  PIDS="$PIDS $PID"
  eval "PID_$(echo "$name" | tr - _)=$PID"
}

pid_of () { eval "echo \$PID_$(echo "$1" | tr - _)"; }

start_log () {
  start logd "$BIN/tests/logd" "$@"
  wait_for 20 test -s "$RUN/logd.out" || fail "the log stand-in did not start"
  LOG=$(listening "$RUN/logd.out")
}

# Shorter times than the defaults keep the runs short.
TUNING="tuning:
  heartbeat_min_ms: 100
  heartbeat_max_ms: 200
  fence_after_ms: 600
  guard_lease_ms: 1200
  ${EXTRA_TUNING:-}"

# reserve_entry N: chooses the ports of entry-N before it starts.
reserve_entry () {
  local n=$1
  set -- $(free_ports 3)
  eval "INTERNAL_$n=127.0.0.1:$1 CALLER_$n=127.0.0.1:$2 OPERATOR_$n=127.0.0.1:$3"
}

# start_entry N: entry-N with callers on CALLER_N and operators on OPERATOR_N.
start_entry () {
  local n=$1
  [ -n "$(eval "echo \${INTERNAL_$n:-}")" ] || reserve_entry "$n"
  cat > "$RUN/entry-$n.yaml" <<YAML
role: entry
name: entry-$n
region: lusitania
failure_domain: lusitania-a
log_address: ${ENTRY_LOG:-$LOG}
internal_address: $(eval "echo \$INTERNAL_$n")
$(eval "echo \${ADVERTISED_$n:+advertised_address: \$ADVERTISED_$n}")
caller_address: $(eval "echo \$CALLER_$n")
operator_address: $(eval "echo \$OPERATOR_$n")
caller_threads: ${CALLER_THREADS:-64}
log_level: ${LOG_LEVEL:-info}
tokens:
- operator: ana
  token: operator-secret
- customer: alentejo
  token: alentejo-secret
- customer: chalk
  token: chalk-secret
$TUNING
YAML
  start "entry-$n" "$BIN/mulberrydrift" entry --config "$RUN/entry-$n.yaml"
}

# start_upstream N SPEED: stand-in upstream that appends each start to a journal.
start_upstream () {
  start "upstream-$1" "$BIN/tests/upstreamd" --journal "$RUN/journal" --speed "$2"
  wait_for 20 test -s "$RUN/upstream-$1.out" || fail "upstream $1 did not start"
  eval "UPSTREAM_$1=$(listening "$RUN/upstream-$1.out")"
}

# start_guard N: guard-N beside upstream N.
start_guard () {
  cat > "$RUN/guard-$1.yaml" <<YAML
role: guard
name: guard-$1
region: lusitania
failure_domain: lusitania-b
log_address: ${GUARD_LOG:-$LOG}
upstream_address: $(eval "echo \$UPSTREAM_$1")
pool: ${POOL:-relogio-calc}
slots: ${SLOTS:-8}
connections: 64
cores: 64
memory_mb: 262144
log_level: ${LOG_LEVEL:-info}
$TUNING
YAML
  start "guard-$1" "$BIN/mulberrydrift" guard --config "$RUN/guard-$1.yaml"
}

# declare_pool N [FIELDS]: creates the pool through the operators' address of entry N.
declare_pool () {
  printf 'kind: pool\nname: %s\nspec:\n  default_deadline_ms: 20000\n%s' "${POOL:-relogio-calc}" \
    "${2:-}" > "$RUN/pool.yaml"
  wait_for 20 "$BIN/mulberrydrift" apply --server "$(eval "echo \$OPERATOR_$1")" \
    --token operator-secret "$RUN/pool.yaml" || fail "the pool was not accepted"
}

# entry_ready N: some entry serves the pool and guards are usable.
guards_usable () { # count
  [ "$(cat "$RUN"/entry-*.log 2>/dev/null | grep -c 'event=guard-usable')" -ge "$1" ]
}

# job N_TASKS MS [SLOW_MS]: a job body with N tasks of MS milliseconds.
job_body () {
  local i
  printf '{"pool":"%s","deadline_ms":%d,"tasks":[' "${POOL:-relogio-calc}" "${DEADLINE:-20000}"
  for i in $(seq 0 $(($1 - 1))); do
    [ "$i" -gt 0 ] && printf ','
    printf '{"path":"/compute?ms=%d&n=%d","declared_ms":%d}' "$2" "$i" "$2"
  done
  printf ']}'
}

submit () { # entry token args...
  local n=$1 token=$2
  shift 2
  "$BIN/mulberrydrift" submit --server "$(eval "echo \$CALLER_$n")" --token "$token" "$@"
}

# doubles: tasks that started more than once, by the judge's file.
doubles () { awk '{print $1, $2}' "$RUN/journal" 2>/dev/null | sort | uniq -d | wc -l; }

# show_job KEY: what the processes logged about a job, and the changes of links and
# owners during its last seconds; for the report of a run that fails.
show_job () {
  grep -hE "(job|key)=$1" "$RUN"/entry-*.log "$RUN"/guard-*.log | sort | tail -n 30
  grep -hE 'event=(shard-|attach|query|peer-|guard-|entry-)' "$RUN"/entry-*.log "$RUN"/guard-*.log |
    sort | tail -n 25 | cut -c 1-160
}
