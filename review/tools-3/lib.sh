# lib.sh -- a small installation on loopback for the scripts of review/11 and later; to be sourced from
# the repository's root. The entries and guards are started with the commands of deploy/system.toml and
# with settings as the templates in deploy/ have them for the site chalkfest-za.
TOOLS=build/review-3
PROGRAM=target/mulberrydrift
TROUBLE=${TROUBLE:-1}
HOST=jobs.example
RECORD=$HERE/record.txt

cannot_run () { echo "cannot run: $*" | tee -a "$RECORD"; exit 2; }
say () { echo "$*" | tee -a "$RECORD"; }

: > "$RECORD"
for f in store worker client put proxy ports slow; do
  [ -x "$TOOLS/$f" ] || cannot_run "$TOOLS/$f is missing, see review/build-3.sh"
done
[ -x "$PROGRAM" ] || cannot_run "$PROGRAM is missing, see deploy/system.toml"
RUN=$(mktemp -d) || cannot_run "no temporary folder"
declare -A PID
finish () {
  local name
  for name in "${!PID[@]}"; do kill -CONT "${PID[$name]}" 2>/dev/null; kill -KILL "${PID[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  if [ -n "${KEEP:-}" ]; then echo "logs: $RUN"; else rm -rf "$RUN"; fi
}
trap finish EXIT
trap 'exit 2' INT TERM

launch () { # name command...
  local name=$1
  shift
  "$@" >> "$RUN/$name.log" 2>&1 &
  PID[$name]=$!
}
end_process () { kill -KILL "${PID[$1]}"; wait "${PID[$1]}" 2>/dev/null; unset "PID[$1]"; }
now_ms () { echo $((${EPOCHREALTIME/[.,]/} / 1000)); }

# Entry n has the address 127.0.0.(10 + n), guard n 127.0.0.(50 + n) for its metrics.
plan () { # entries guards
  local n
  ENTRIES=$1 GUARDS=$2
  set -- $("$TOOLS/ports" $((7 + 2 * GUARDS)))
  [ $# -ge $((7 + 2 * GUARDS)) ] || cannot_run "no free ports"
  INNER=$1 CALLERS=$2 READY=$3 METRICS=$4 SEED=$5 STORE=127.0.0.1:$6 VIA=127.0.0.1:$7
  shift 7
  for n in $(seq "$GUARDS"); do
    APP[n]=127.0.0.1:$1 REGISTER[n]=127.0.0.1:$2
    shift 2
  done
  SEEDS=
  for n in $(seq "$ENTRIES"); do SEEDS=$SEEDS${SEEDS:+,}127.0.0.$((10 + n)):$SEED; done
}

start_entry () { # n [address of the store]
  local ip=127.0.0.$((10 + $1))
  cat > "$RUN/entry-$1.yaml" <<YAML
end_marker: required
role: run-entry
name: edge-za-south-$1
region: za-south
failure_domain: za-south-$1
store_address: ${2:-$STORE}
internal_address: $ip:$INNER
entry_port: $INNER
caller_address: $ip:$CALLERS
ready_address: $ip:$READY
seeds: "$SEEDS"
caller_threads: 160
grace_s: 6
resend_after_ms: 1300
stop_timeout_ms: 50
config_apply_ms: 2000
remote_factor: 1.5
cpu_share: 0.25
log_level: info
metrics_address: $ip:$METRICS
...
YAML
  launch "entry-$1" "$PROGRAM" run-entry --config "$RUN/entry-$1.yaml"
}

start_guard () { # n
  cat > "$RUN/guard-$1.yaml" <<YAML
end_marker: required
role: run-guard
name: side-za-south-$1
region: za-south
failure_domain: za-south-$((($1 - 1) % ENTRIES + 1))
store_address: $STORE
entry_port: $INNER
seeds: "$SEEDS"
worker_address: ${APP[$1]}
register_address: ${REGISTER[$1]}
worker_lease_max_ms: 1000
grace_s: 6
resend_after_ms: 1300
stop_timeout_ms: 50
log_level: info
metrics_address: 127.0.0.$((50 + $1)):$METRICS
...
YAML
  launch "guard-$1" "$PROGRAM" run-guard --config "$RUN/guard-$1.yaml"
}

start_worker () { # n service kind: a life of worker n
  launch "worker-$1" "$TOOLS/worker" "i-$1" "${APP[$1]}" "${REGISTER[$1]}" "$2" "$3" \
    "r1-$((($1 + 2) / 3))" 16000 "$RUN/journal"
}

start_store () {
  local n
  launch store "$TOOLS/store" "$STORE"
  for n in $(seq 100); do
    "$TOOLS/put" "$STORE" probe "{}" 2>/dev/null && return
    sleep 0.05
  done
  cannot_run "the store did not start"
}

# put_config VERSION SERVICE: one queue, /square/, whose tasks run on the workers of the service.
put_config () {
  "$TOOLS/put" "$STORE" config "{\"version\":$1,\"routes\":[{\"name\":\"square\",\"host\":\"$HOST\",\"path_prefix\":\"/square/\",\"service\":\"$2\",\"timeout_ms\":${ROUTE_TIMEOUT_MS:-8000},\"priority\":1,\"max_attempts\":3,\"slack_factor\":${SLACK:-4},\"target_latency_ms\":60}],\"services\":[],\"limits\":{\"max_body_bytes\":262144}}"
}

request () { # entry method path timeout_ms [body]: prints status and body
  "$TOOLS/client" "127.0.0.$((10 + $1)):$CALLERS" "$2" "$3" "$HOST" "$4" "${5:-}"
}

wait_for () { # seconds command...
  local left=$(($1 * 20))
  shift
  while ! "$@"; do
    left=$((left - 1))
    [ "$left" -gt 0 ] || return 1
    sleep 0.05
  done
}
is_ready () { # entry
  [ "$("$TOOLS/client" "127.0.0.$((10 + $1)):$READY" GET /v1/readyz x 1000 | cut -c1-3)" = 200 ]
}
# What the process has written of workers that are usable; it decides nothing but when the script begins.
sees_workers () { # entry count
  [ "$(grep -c 'event=upstream-state.* state=1 ' "$RUN/entry-$1.log")" -ge "$2" ]
}
wait_until_up () {
  local n
  for n in $(seq "$ENTRIES"); do
    wait_for 15 is_ready "$n" || cannot_run "entry $n is not ready"
    wait_for 10 sees_workers "$n" "$GUARDS" || cannot_run "entry $n does not see all workers"
  done
}
