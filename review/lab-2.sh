# lab-2.sh -- a small deployment on loopback for the scripts of review 2; to be sourced
#
# Entries and guards are the project's own, started with the commands of deploy/system.toml and with
# settings filled into its templates; the bounds are those of the site chalkfest-za. The store and
# the workers are the stand-ins of review/tools-2. Each process is ended by its id.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
TOOLS=review/tools-2/bin
RUN=$(mktemp -d)
NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 200 + 20))
TROUBLE=${TROUBLE:-1}
declare -A PIDS=()

finish () {
  local name
  for name in "${!PIDS[@]}"; do kill -CONT "${PIDS[$name]}" 2>/dev/null; kill -KILL "${PIDS[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  if [ -n "${KEEP:-}" ]; then echo "logs: $RUN" >&2; else rm -rf "$RUN"; fi
}
trap finish EXIT

now () { echo $((${EPOCHREALTIME//[.,]/} / 1000)); } # milliseconds since 1970
record () { echo "$(now) $*" >> "$CASE/record.txt"; }
cannot_run () { record "cannot run: $*"; echo "cannot run: $*" >&2; exit 2; }

launch () { # name command...
  local name=$1; shift
  "$@" >> "$RUN/$name.log" 2>&1 &
  PIDS[$name]=$!
}
end_process () { # name
  kill -KILL "${PIDS[$1]}" 2>/dev/null
  wait "${PIDS[$1]}" 2>/dev/null
  unset "PIDS[$1]"
}
wait_for () { # seconds command...
  local tries=$(($1 * 20)); shift
  until "$@"; do
    [ $((tries -= 1)) -gt 0 ] || return 1
    sleep 0.05
  done
}
http () { "$TOOLS/call" http "$@"; } # address method path timeout_ms [file]

entry_ip () { echo "$NET.$((10 + $1))"; }
guard_ip () { echo "$NET.$((100 + $1))"; }

fill () { # template name ip out
  sed -e '/^{{#advisor}}/d' -e 's/{{\/advisor}}//' \
    -e "s/{{node_name}}/$2/; s/{{region}}/za-south/; s/{{zone}}/za-south-a/; s/{{ip}}/$3/g" \
    -e "s/{{platform.address}}/$STORE/; s/{{internal_port_range.0}}/$INNER/g; s/{{seeds}}/$SEEDS/" \
    -e "s/{{listen.frontend}}/$3:$FRONT/; s/{{listen.readiness}}/$3:$READY/" \
    -e "s/{{listen.control_plane}}/$3:$CONTROL/; s/{{app}}/$3:$APP/" \
    -e 's/{{bounds.grace_s}}/6/; s/{{bounds.resend_ms}}/1300/; s/{{bounds.stop_timeout_ms}}/50/' \
    -e 's/{{bounds.config_apply_ms}}/2000/; s/{{bounds.remote_factor}}/1.5/' \
    -e 's/{{bounds.max_hold_ms}}/1000/' "$1" > "$4"
  ! grep -q '{{' "$4" || cannot_run "a placeholder of $1 is not known"
}
start_entry () { # n
  fill deploy/run-entry.yaml "edge-$1" "$(entry_ip "$1")" "$RUN/edge-$1.yaml"
  launch "edge-$1" target/mulberrydrift run-entry --config "$RUN/edge-$1.yaml"
}
start_guard () { # n
  fill deploy/run-guard.yaml "side-$1" "$(guard_ip "$1")" "$RUN/side-$1.yaml"
  launch "side-$1" target/mulberrydrift run-guard --config "$RUN/side-$1.yaml"
}
start_worker () { # n options...; those in WORKER_n come last
  local n=$1 own="WORKER_$1"; shift
  launch "worker-$n" "$TOOLS/worker" --id "i-$n" --listen "$(guard_ip "$n"):$APP" \
    --guard "$(guard_ip "$n"):$CONTROL" --journal "$RUN/journal" "$@" ${!own:-}
}

byte () { printf "\\x$(printf %02x $(($1 & 255)))"; }
# put_config VERSION PREFIX: the operator's configuration with one queue.
put_config () {
  local config len
  config='{"version":'$1',"routes":[{"name":"q","host":"jobs.example","path_prefix":"'$2'","timeout_ms":30000,"target_latency_ms":60,"priority":1,"service":"calc","max_attempts":3,"slack_factor":4}],"services":[{"name":"calc","enforces_capacity":true}],"limits":{}}'
  len=$((${#config} + 7))
  { byte $((len >> 24)); byte $((len >> 16)); byte $((len >> 8)); byte $len; byte 6; printf 'config%s' "$config"; } \
    > "$RUN/config"
  [[ $(http "$STORE" POST '/v1/log-append?topic=keyed.op&part=0' 2000 "$RUN/config") == 200* ]]
}

workers_seen () { # entry count
  [ "$(grep -c 'event=upstream-state.*state=1' "$RUN/edge-$1.log")" -ge "$2" ]
}
is_ready () { [[ $(http "$(entry_ip "$1"):$READY" GET /v1/readyz 1000) == 200* ]]; }

# start_deployment ENTRIES GUARDS OPTION...: with these options of the workers.
start_deployment () {
  local entries=$1 guards=$2 n ips=()
  shift 2
  [ -x target/mulberrydrift ] || cannot_run "target/mulberrydrift is not built"
  [ -x "$TOOLS/worker" ] || cannot_run "review/build-2.sh has not run"
  : > "$CASE/record.txt"; : > "$RUN/journal"
  for n in $(seq "$entries"); do ips+=("$(entry_ip "$n")"); done
  for n in $(seq "$guards"); do ips+=("$(guard_ip "$n")"); done
  set -- "$@" -- $("$TOOLS/call" ports 6 "$NET.1" "${ips[@]}")
  local options=()
  while [ "$1" != -- ]; do options+=("$1"); shift; done
  STORE=$NET.1:$2 INNER=$3 FRONT=$4 READY=$5 CONTROL=$6 APP=$7
  SEEDS=$(for n in $(seq "$entries"); do echo "$(entry_ip "$n"):$CONTROL"; done | head -3 | paste -sd,)
  launch store "$TOOLS/store" "$STORE"
  wait_for 5 put_config 3 /calc/ || cannot_run "the store did not start"
  for n in $(seq "$entries"); do start_entry "$n"; done
  for n in $(seq "$guards"); do start_worker "$n" "${options[@]}"; start_guard "$n"; done
  for n in $(seq "$entries"); do
    wait_for 20 workers_seen "$n" "$guards" || cannot_run "edge-$n does not see every worker"
    wait_for 5 is_ready "$n" || cannot_run "edge-$n is not ready"
  done
}

running_tasks () { # runs that have started and not ended
  awk '$1 == "start" { n++ } $1 == "end" { n-- } END { print n + 0 }' "$RUN/journal"
}

# Prints each start of a task of which another run was at work, and for how long both were.
doubled_runs () {
  awk '
    $1 == "start" { at[$2, $3, $5] = $4; for (k in open) { split(k, p, SUBSEP)
        if (p[1] == $2) pairs[++n] = $2 SUBSEP p[2] SUBSEP p[3] SUBSEP $3 SUBSEP $5 }
      open[$2, $3, $5] = 1 }
    $1 == "end" { ended[$2, $3, $6] = $5; delete open[$2, $3, $6] }
    END { for (i = 1; i <= n; i++) { split(pairs[i], p, SUBSEP)
        a = (p[1], p[2], p[3]) in ended ? ended[p[1], p[2], p[3]] : "?"
        printf "task %s: run %s on %s still at work when run %s started on %s", p[1], p[2], p[3], p[4], p[5]
        if (a != "?") printf ", for another %d ms", a - at[p[1], p[4], p[5]]
        print "" } }' "$RUN/journal"
}
