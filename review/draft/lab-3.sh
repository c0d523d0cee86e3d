# lab-3.sh -- an installation of one run of a case; to be sourced by its run.sh
#
# Entries and guards are started with the commands of deploy/system.toml and with settings from its
# templates. The store, the workers and the clients are stand.c, built by build-2.sh. Everything is on
# addresses of 127.0.0.0/8 that belong to this run, and files are in $RUN.
HERE=$(cd "$(dirname "$0")" && pwd) && cd "$HERE/../../.." || exit 2
STAND=target/review/stand
[ -x target/mulberrydrift ] && [ -x $STAND ] || { echo "not built" >&2; exit 2; }
RUN=$(mktemp -d) || exit 2
NET=127.$((20 + $$ % 200)).$((RANDOM % 250 + 1))
: > "$RUN/journal"
RECORD=$HERE/record.txt
: > "$RECORD"
set -- $($STAND ports 8)
INNER=$1 FRONT=$2 PROBE=$3 METRICS=$4 STORE=$NET.5:$5 ORDERS=$6 CONTROL=$7
declare -A PID

say () { echo "$(date +%s%3N) $*" | tee -a "$RECORD"; }
unable () { say "not run: $*"; exit 2; }
finish () {
  local name
  for name in "${!PID[@]}"; do kill -CONT "${PID[$name]}" 2>/dev/null; kill -KILL "${PID[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  [ -n "${KEEP:-}" ] && echo "logs: $RUN" >&2 || rm -rf "$RUN"
}
trap finish EXIT
launch () { # name command...
  local name=$1
  shift
  "$@" >> "$RUN/$name.log" 2>&1 &
  PID[$name]=$!
}
end () { kill -KILL "${PID[$1]}"; wait "${PID[$1]}" 2>/dev/null; unset "PID[$1]"; }

# fill ROLE NAME IP APP: the template of a role with the fields of the page DEPLOY.
fill () {
  sed -e 's/{{#advisor}}.*//' -e 's/^{{\/advisor}}//' -e "s/{{node_name}}/$2/; s/{{region}}/region-1/; s/{{zone}}/zone-a/
    s/{{platform.address}}/$STORE/; s/{{ip}}/$3/; s/{{internal_port_range.0}}/$INNER/
    s/{{listen.frontend}}/$3:$FRONT/; s/{{listen.readiness}}/$3:$PROBE/; s/{{listen.control_plane}}/$3:$CONTROL/
    s/{{app}}/$4/; s/{{seeds}}/$NET.11:$CONTROL,$NET.12:$CONTROL/; s/{{bounds.grace_s}}/6/
    s/{{bounds.resend_ms}}/1300/; s/{{bounds.stop_timeout_ms}}/50/; s/{{bounds.config_apply_ms}}/2000/
    s/{{bounds.remote_factor}}/1.5/; s/{{bounds.max_hold_ms}}/1000/; s/:9464/:$METRICS/" "deploy/run-$1.yaml" > "$RUN/$2.yaml"
  ! grep -q '{{' "$RUN/$2.yaml" || unable "a field of deploy/run-$1.yaml is not filled in"
}
start_entry () { fill entry "entry-$1" "$NET.1$1" ""; launch "entry-$1" target/mulberrydrift run-entry --config "$RUN/entry-$1.yaml"; }
start_guard () { fill guard "side-$1" "$NET.5$1" "$NET.10$1:$ORDERS"; launch "guard-$1" target/mulberrydrift run-guard --config "$RUN/side-$1.yaml"; }
start_worker () { # n cpu stop_ms
  launch "worker-$1" $STAND worker "$NET.10$1:$ORDERS" "$NET.5$1:$CONTROL" "i-0000000$1" "$2" "$3" "$RUN/journal"
}
put_config () { # version prefix...: the operator writes a configuration with these queues
  local version=$1 routes= prefix
  shift
  for prefix in "$@"; do
    routes="$routes${routes:+,}{\"name\":\"q$prefix\",\"host\":\"jobs.example\",\"path_prefix\":\"$prefix\",\"timeout_ms\":30000,\"target_latency_ms\":60,\"priority\":0,\"service\":\"calc\",\"max_attempts\":3,\"slack_factor\":1.6}"
  done
  printf '{"version":%s,"routes":[%s],"services":[{"name":"calc","enforces_capacity":true}],"limits":{}}' "$version" "$routes" > "$RUN/config.json"
  $STAND config "$STORE" "$RUN/config.json"
}
request () { # entry method path [body] [wait_ms]: prints the status and the body of the answer
  local n=$1
  shift
  $STAND call "$NET.1$n:$FRONT" "$@"
}
wait_for () { # seconds command...
  local left=$(($1 * 20))
  shift
  until "$@"; do left=$((left - 1)); [ $left -gt 0 ] || return 1; sleep 0.05; done
}
sees_workers () { [ "$(grep -c 'event=upstream-state.*state=1' "$RUN/entry-$1.log")" -ge "$2" ]; }
is_ready () { [[ $($STAND call "$NET.1$1:$PROBE" GET /v1/readyz "" 500) == 200* ]]; }
# start_all ENTRIES WORKERS CPU STOP_MS
start_all () {
  local n
  launch store $STAND store "$STORE"
  wait_for 5 put_config 3 /calc/ || unable "the store did not start"
  for n in $(seq "$1"); do start_entry "$n"; done
  for n in $(seq "$2"); do start_worker "$n" "$3" "$4"; start_guard "$n"; done
  for n in $(seq "$1"); do
    wait_for 15 sees_workers "$n" "$2" || unable "entry $n does not see the workers"
    wait_for 5 is_ready "$n" || unable "entry $n is not ready"
  done
}
# steps N COUNT CPU MS: N steps one after the other, each of COUNT tasks, as JSON; the spec says the same.
job () {
  local i steps=
  for i in $(seq 0 $(($1 - 1))); do
    steps="$steps${steps:+,}{\"count\":$2,\"cpu\":$3,\"mem_mb\":64,\"estimated_ms\":$4$([ "$i" -gt 0 ] && echo ",\"depends_on\":[$((i - 1))]")}"
  done
  printf '{"best_effort":true,"spec":"ms=%s cpu=%s","steps":[%s]}' "$4" "$3" "$steps"
}
running () { awk '$2 == "start" { n++ } $2 == "end" { n-- } END { print n + 0 }' "$RUN/journal"; }
are_running () { [ "$(running)" -ge "$1" ]; }
# twice: prints each task of which two runs were at work at the same time.
twice () {
  sort -s -n -k1,1 "$RUN/journal" | awk '
    $2 == "start" { for (r in at) { split(r, k, SUBSEP); if (k[1] == $3 && (k[2] != $4 || k[3] != $6)) { print $1, "task", $3, "run", $4, "on", $6, "while run", k[2], "on", k[3], "since", at[r]; break } }
      at[$3, $4, $6] = $1 }
    $2 == "end" { delete at[$3, $4, $6] }'
}
