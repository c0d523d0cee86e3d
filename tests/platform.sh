# platform.sh -- a small installation on stand-ins of the users' platform; to be sourced
#
# $BIN names the build. Every process runs on loopback; its id stands in $RUN/NAME.pid.
BIN=${MD_BIN:-build/release}
DAEMON=${MD_DAEMON:-$BIN/mulberrydrift} # another build's daemons with the tools of this one
RUN=$(mktemp -d)
: > "$RUN/journal"
: > "$RUN/ordered" # signals that end a process: name, id, signal
: > "$RUN/ends"    # name, id, status as of the shell, seconds since 1970
ENTRIES=2
GUARDS=3

# start_time PID: when it started, in clock ticks since boot; empty when there is none.
start_time () {
  local stat
  stat=$(cat "/proc/$1/stat" 2>/dev/null) || return 0
  set -- ${stat##*) }
  echo "${20}"
}
# Whether the process NAME still runs. The id of one that has ended may belong to another
# program's process or thread by now, so that its start time is compared as well. It is empty for one
# that ended while it was launched.
running () { # name
  local pid start
  [ -f "$RUN/$1.pid" ] && read -r pid start < "$RUN/$1.pid" && [ -n "$start" ] \
    && [ "$(start_time "$pid")" = "$start" ]
}
send_signal () { # signal name
  running "$2" || return 0
  case $1 in
    KILL) echo "$2 $(pid_of "$2") KILL" >> "$RUN/ordered" ;;
    TERM) echo "$2 $(pid_of "$2") $(has_started "$2" && echo TERM || echo EARLY-TERM)" >> "$RUN/ordered" ;;
  esac
  kill "-$1" "$(pid_of "$2")" 2>/dev/null
}

finish_platform () {
  local f
  for f in "$RUN"/*.pid; do [ -f "$f" ] && send_signal KILL "$(basename "$f" .pid)"; done
  wait 2>/dev/null
  if [ -n "${KEEP:-}" ]; then echo "logs: $RUN" >&2; return; fi
  # A shell that waits for a process may be writing how it ended.
  rm -rf "$RUN" 2>/dev/null || { sleep 0.2; rm -rf "$RUN"; }
}
trap finish_platform EXIT

fail () { echo "FAILED: $*" >&2; KEEP=1; exit 1; }

# No other run draws these ports before this shell has ended.
free_ports () { "$BIN/tests/freeport" "$1" $$; }

# Entries share one internal port, as on the platform, and differ by address.
plan_ports () {
  set -- $(free_ports $((6 + 3 * GUARDS)))
  INNER=$1 CALLERS=$2 READY=$3 STORE=127.0.0.1:$4 METRICS=$5
  shift 6
  local n
  for n in $(seq "$GUARDS"); do
    eval "ORDERS_$n=127.0.0.1:$1 REGISTER_$n=127.0.0.1:$2 VIA_$n=127.0.0.1:$3"
    shift 3
  done
  SEEDS=
  for n in $(seq "$ENTRIES"); do SEEDS=$SEEDS${SEEDS:+,}127.0.0.$((10 + n)):1; done
}

launch () { # name command...
  local name=$1; shift
  echo "event=launched" >> "$RUN/$name.log" # precedes all lines of the process
  rm -f "$RUN/$name.pid"
  # The shell that waits for the process outlives the one that launches it, so that every end is
  # recorded, at whatever time.
  { "$@" >> "$RUN/$name.log" 2>&1 &
    echo "$! $(start_time $!)" > "$RUN/$name.pid"
    wait $!
    echo "$name $! $? $EPOCHREALTIME" >> "$RUN/ends"; } > /dev/null 2>&1 &
  disown $!
  until [ -s "$RUN/$name.pid" ]; do sleep 0.002; done
}
# A sanitizer's runtime does not stand beside a preloaded library.
launch_stepped () { # name command...: the same with a wall clock of its own, see step_clock
  local name=$1; shift
  if [ "$(basename "$(dirname "$DAEMON")")" != release ]; then launch "$name" "$@"; return; fi
  [ -e "$RUN/clock-$name" ] || printf '%-16d' 0 > "$RUN/clock-$name"
  launch "$name" env LD_PRELOAD="$PWD/$BIN/tests/clock-shim.so" CLOCK_OFFSET_FILE="$RUN/clock-$name" "$@"
}
step_clock () { # name milliseconds
  [ ! -e "$RUN/clock-$1" ] || printf '%-16d' "$2" 1<> "$RUN/clock-$1"
}
pid_of () { local pid; read -r pid _ < "$RUN/$1.pid"; echo "$pid"; }

start_store () { launch store "$BIN/tests/platform-store" --listen "$STORE"; }
advisor_allows () { curl -sS -m 3 -X POST "http://$STORE/control?allow=$1" > /dev/null; }
store_mode () { curl -sS -m 3 -X POST "http://$STORE/control?mode=$1" > /dev/null; }

start_worker () { # n [speed]; with the options OPTIONS_n
  local orders register options
  eval "orders=\$ORDERS_$1 register=\$REGISTER_$1 options=\${OPTIONS_$1:-}"
  launch "worker-$1" "$BIN/tests/platform-worker" --id "${ID_PREFIX:-i}-$1" --listen "$orders" \
    --guard "$register" --speed "${2:-1}" --cpu 8000 --journal "$RUN/journal" \
    --stop-ms "${STOP_MS:-50}" --hold-late-ms "${HOLD_LATE_MS:-0}" $options
}
worker_mode () {
  local orders
  eval "orders=\$ORDERS_$1"
  curl -sS -m 3 -X POST "http://$orders/control?mode=$2" > /dev/null
}

# SHARE_n is the processor share of entry n in cores; with a very small one it hands requests over.
share_line () { # n
  local share
  eval "share=\${SHARE_$1:-}"
  [ -z "$share" ] || printf '\ncpu_share: %s' "$share"
}

# Processes reach the store through STORE_VIA when that is set. With KEEP_SETTINGS the settings file
# stays as it is; SETTINGS_HEAD and SETTINGS_TAIL are its first and its last line.
start_entry () { # n
  local ip=127.0.0.$((10 + $1))
  [ -n "${KEEP_SETTINGS:-}" ] || cat > "$RUN/entry-$1.yaml" <<YAML
${SETTINGS_HEAD:+$SETTINGS_HEAD
}role: run-entry
name: entry-$1
region: lusitania
failure_domain: lusitania-a
store_address: ${STORE_VIA:-$STORE}
internal_address: $ip:$INNER
entry_port: $INNER
caller_address: $ip:$CALLERS
ready_address: $ip:$READY
metrics_address: $ip:$METRICS
advisor_address: $STORE
advertised_address: ${ADVERTISED:-$ip:$INNER}
seeds: "$SEEDS"
caller_threads: ${CALLER_THREADS:-64}$(share_line "$1")
grace_s: 6${SETTINGS_TAIL:+
$SETTINGS_TAIL}
YAML
  launch_stepped "entry-$1" "$DAEMON" run-entry --config "$RUN/entry-$1.yaml"
}

start_guard () { # n; through VIA_n when PROXIED is set, in the failure domain DOMAIN_n if that is set
  local orders register via domain
  eval "orders=\$ORDERS_$1 register=\$REGISTER_$1 via=\$VIA_$1 domain=\${DOMAIN_$1:-lusitania-a}"
  [ -n "${PROXIED:-}" ] && orders=$via
  [ -n "${KEEP_SETTINGS:-}" ] || cat > "$RUN/guard-$1.yaml" <<YAML
${SETTINGS_HEAD:+$SETTINGS_HEAD
}role: run-guard
name: guard-$1
region: lusitania
failure_domain: $domain
store_address: ${STORE_VIA:-$STORE}
entry_port: $INNER
seeds: "$SEEDS"
worker_address: $orders
register_address: $register
metrics_address: 127.0.0.$((50 + $1)):$METRICS
worker_lease_max_ms: 1000
grace_s: 6${SETTINGS_TAIL:+
$SETTINGS_TAIL}
YAML
  launch_stepped "guard-$1" "$DAEMON" run-guard --config "$RUN/guard-$1.yaml"
}

# put_config VERSION PREFIX...: the operator's configuration with these queues.
put_config () {
  local version=$1 routes= prefix
  shift
  for prefix in "$@"; do
    local advisor=
    [ "$prefix" = /advised/ ] && advisor='"advisor":{"decision_ms":5,"period_ms":1,"valid_ms":3000},'
    routes="$routes${routes:+,}{$advisor\"name\":\"q$prefix\",\"host\":\"jobs.example\",\"path_prefix\":\"$prefix\",\"timeout_ms\":1500,\"target_latency_ms\":60,\"priority\":1,\"service\":\"calc\",\"max_attempts\":2,\"slack_factor\":4}"
  done
  printf '{"version":%s,"routes":[%s],"services":[],"limits":{}}' "$version" "$routes" \
    > "$RUN/config.json"
  local len=$(($(stat -c %s "$RUN/config.json") + 7))
  { printf "\\x$(printf %02x $((len >> 24)))\\x$(printf %02x $((len >> 16 & 255)))\\x$(printf %02x $((len >> 8 & 255)))\\x$(printf %02x $((len & 255)))\\x06config"
    cat "$RUN/config.json"; } > "$RUN/record"
  curl -fsS -m 3 --data-binary @"$RUN/record" \
    "http://$STORE/v1/log-append?topic=keyed.op&part=0" > /dev/null
}

# put_operator KEY: a record of the operator's topic, whose value is read from standard input.
put_operator () {
  local file=$RUN/operator-$BASHPID len status
  cat > "$file"
  len=$(($(stat -c %s "$file") + 1 + ${#1}))
  { printf "\\x$(printf %02x $((len >> 24)))\\x$(printf %02x $((len >> 16 & 255)))\\x$(printf %02x $((len >> 8 & 255)))\\x$(printf %02x $((len & 255)))\\x$(printf %02x ${#1})%s" "$1"
    cat "$file"; } > "$file-record"
  curl -fsS -m 3 --data-binary @"$file-record" "http://$STORE/v1/log-append?topic=keyed.op&part=0" > /dev/null
  status=$?
  rm -f "$file" "$file-record"
  return $status
}
# put_evacuate DOMAIN [VALUE], clear_evacuate DOMAIN: succeed once the store has confirmed the record.
put_evacuate () {
  local value='{}'
  [ $# -lt 2 ] || value=$2
  printf %s "$value" | put_operator "evacuate/$1"
}
clear_evacuate () { printf '' | put_operator "evacuate/$1"; }
# mark_evacuated, mark_returned WORKER...: from when on the judge takes a start there for a fault. The
# first is for the time when the evacuation has to be in effect, the second before it is taken back.
mark_evacuated () { local n; for n in "$@"; do echo "evacuated - 0 0 i-$n" >> "$RUN/journal"; done; }
mark_returned () { local n; for n in "$@"; do echo "returned - 0 0 i-$n" >> "$RUN/journal"; done; }

ready () { # n
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://127.0.0.$((10 + $1)):$READY/v1/readyz")" = 200 ]
}
seen () { grep -q "$2" "$RUN/$1.log"; } # name pattern
wait_for () { # seconds command...
  local left=$(($1 * 20))
  shift
  while ! "$@"; do
    left=$((left - 1))
    [ $left -gt 0 ] || return 1
    sleep 0.05
  done
}
workers_seen () { # entry count
  [ "$(grep -c 'event=upstream-state.*state=1' "$RUN/entry-$1.log")" -ge "$2" ]
}

# post JOB BODY [entry]: prints the status and the body.
post () {
  curl -s -m 5 -w ' %{http_code}\n' -H 'Host: jobs.example' -H 'Content-Type: application/json' \
    -d "$2" "http://127.0.0.$((10 + ${3:-1})):$CALLERS${QUEUE:-/calc/}$1"
}

start_platform () {
  plan_ports
  local n
  start_store
  wait_for 5 curl -s -m 1 -o /dev/null "http://$STORE/control" || fail "the store did not start"
  put_config 3 /calc/
  for n in $(seq "$ENTRIES"); do start_entry "$n"; done
  for n in $(seq "$GUARDS"); do start_worker "$n"; start_guard "$n"; done
  for n in $(seq "$ENTRIES"); do
    wait_for 20 workers_seen "$n" "$GUARDS" || fail "entry-$n does not see every worker"
    wait_for 5 ready "$n" || fail "entry-$n is not ready"
  done
}

command_proxy () {
  local reply
  exec 9<> "/dev/tcp/${CONTROL%:*}/${CONTROL#*:}" || return
  echo "$*" >&9
  IFS= read -r -t 5 reply <&9
  exec 9>&-
}

# start_proxied SEED: entries and guards, guards and workers, and both and the store meet through
# the fault proxy.
start_proxied () {
  plan_ports
  SEEDS=
  local n routes=
  for n in $(seq "$ENTRIES"); do routes="$routes e$n=127.0.0.$((10 + n)):$INNER"; done
  for n in $(seq "$GUARDS"); do eval "routes=\"\$routes w$n=\$ORDERS_$n\""; done
  launch proxy "$BIN/tests/faultproxy" --seed "$1" $routes "s=$STORE"
  wait_for 5 grep -q '^control listening' "$RUN/proxy.log" || fail "the proxy did not start"
  CONTROL=$(sed -n 's/^control listening //p' "$RUN/proxy.log")
  for n in $(seq "$GUARDS"); do eval "VIA_$n=$(sed -n "s/^route w$n listening //p" "$RUN/proxy.log")"; done
  STORE_VIA=$(sed -n 's/^route s listening //p' "$RUN/proxy.log")
  PROXIED=1
  start_store
  wait_for 5 curl -s -m 1 -o /dev/null "http://$STORE/control" || fail "the store did not start"
  put_config 3 /calc/
  for n in $(seq "$ENTRIES"); do start_proxied_entry "$n"; done
  for n in $(seq "$GUARDS"); do start_worker "$n" "${SPEED:-$((n % 2 + 1))}"; start_guard "$n"; done
  for n in $(seq "$ENTRIES"); do
    wait_for 20 workers_seen "$n" "$GUARDS" || fail "seed $1: entry-$n does not see every worker"
  done
}

start_proxied_entry () { ADVERTISED=$(sed -n "s/^route e$1 listening //p" "$RUN/proxy.log") start_entry "$1"; }

restart () { # name
  case $1 in
    entry-*) start_proxied_entry "${1#entry-}" ;;
    guard-*) start_guard "${1#guard-}" ;;
  esac
}

# Sets PICK. Not in a subshell: there the random sequence does not follow the seed.
some () {
  local words=($1)
  PICK=${words[RANDOM % ${#words[@]}]}
}

# Faults run beside one another; each undoes itself.
one_fault () { # kind name duration
  case $1 in
    kill) send_signal KILL "$2"; sleep "$3"; restart "$2" ;;
    pause) send_signal STOP "$2"; sleep "$3"; send_signal CONT "$2" ;;
    term) send_signal TERM "$2"
      local left=140
      while running "$2" && [ $left -gt 0 ]; do left=$((left - 1)); sleep 0.05; done
      ! running "$2" || { send_signal KILL "$2"; echo "overdue $2" >> "$RUN/overdue"; }
      restart "$2" ;;
  esac
}

serves () { # entry
  post "$(printf 'f%015x' "$RANDOM$RANDOM")" \
    '{"best_effort":true,"spec":"ms=20 cpu=500","steps":[{"count":2,"cpu":500,"mem_mb":64,"estimated_ms":20}]}' \
    "$1" | grep -q completed
}

# Whether NAME has written that it started, since it was launched.
has_started () {
  awk '/^event=launched$/ { n = 0 } / event=started / { n = 1 } END { exit !n }' "$RUN/$1.log"
}
daemons () { (cd "$RUN" && ls | sed -n 's/^\([eg][a-z]*-[0-9]*\)\.pid$/\1/p'); }
# Ends every entry and guard by SIGTERM, as a deployment does.
stop_daemons () {
  local name left=600
  for name in $(daemons); do wait_for 10 has_started "$name"; send_signal TERM "$name"; done
  for name in $(daemons); do
    while running "$name" && [ $left -gt 0 ]; do left=$((left - 1)); sleep 0.05; done
    ! running "$name" || { echo "overdue $name" >> "$RUN/overdue"; send_signal KILL "$name"; }
  done
  sleep 0.1 # until the last end is recorded
}
# judge_ends: a word for each end that no signal of ours ordered, and for each whose status is not
# that of the signal: 0 after SIGTERM, killed after SIGKILL. SIGTERM before a process has started may
# end it as it ends any program.
judge_ends () {
  awk 'kind == "ordered" { order[$1, $2] = order[$1, $2] "+" $3; next }
    $1 !~ /^(entry|guard|worker|store|proxy)/ { next }
    { o = order[$1, $2]
      if ((o ~ /TERM/ && $3 == 0) || (o ~ /EARLY/ && $3 == 143) || (o ~ /KILL/ && $3 == 137)) next
      printf "%s:%s:%s ", $1, o == "" ? "by-itself" : "after" o, ($3 > 128 ? "signal=" $3 - 128 : "status=" $3) }' \
    kind=ordered "$RUN/ordered" kind=end "$RUN/ends"
}

# judge_runs JOURNAL RESULTS: counts broken promises from what workers and callers saw:
# two runs of a task at once (with one run number at two workers, when two entries order it, or with
# two), jobs that started although every attempt was rejected, starts on a worker that has been
# draining for longer than drain_ms, and starts in an evacuated domain (mark_evacuated).
judge_runs () {
  sort -s -k1,1 -k2,2 "$2" > "$RUN/sorted" 2>/dev/null
  awk -v drain_ms=2000 '
    kind == "result" { outcome[$1] = $2; n[$2]++; next }
    $1 == "start" { starts++
      split($2, part, "."); begun[part[1]] = 1
      for (r in open) { split(r, k, SUBSEP); if (k[1] == $2 && (k[2] != $3 || k[3] != $5)) { twice++; print "TWICE " $2 > "/dev/stderr" } }
      if (($5 in drains) && $4 > drains[$5] + drain_ms) { drained++; print "DRAIN " $2 > "/dev/stderr" }
      if ($5 in evacuated) { there++; print "EVACUATED " $2 " " $5 > "/dev/stderr" }
      open[$2, $3, $5] = $4 }
    $1 == "evacuated" { evacuated[$5] = 1 }
    $1 == "returned" { delete evacuated[$5] }
    $1 == "drain" { drains[$5] = $4 }
    $1 == "undrain" { delete drains[$5] }
    $1 == "end" { delete open[$2, $3, $6] }
    $1 == "crash" { for (r in open) { split(r, k, SUBSEP); if (k[3] == $5) delete open[r] } }
    END {
      for (id in outcome) if (outcome[id] == "rejected" && begun[id]) { false_not_run++; print "REFUSED " id > "/dev/stderr" }
      printf "starts=%d twice=%d false_not_run=%d drained=%d completed=%d failed=%d rejected=%d unknown=%d left=%d evacuated=%d\n",
        starts, twice, false_not_run, drained, n["completed"], n["failed"], n["rejected"], n["unknown"], n["left"], there }' \
    kind=result "$2" kind=run "$1"
}
