# lab.sh -- a small installation on loopback for the review's scripts; to be sourced by run.sh
#
# Entries and guards are started with the commands of deploy/system.toml, and with settings filled
# in from deploy/run-entry.yaml and deploy/run-guard.yaml with the figures of the site that
# claim.txt names. Entry N has the address 127.0.0.(10+N), the VM of worker N 127.0.0.(30+N).
# What was sent, answered and run goes to record.txt, one line an event, with Unix time in ms.
TROUBLE=${TROUBLE:-1}
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.." || exit 2
TOOLS=target/review
RECORD=$CASE/record.txt
RUN=$(mktemp -d) || exit 2
PIDS= CLIENTS_RUN=
: > "$RECORD"

finish () {
  local pid
  for pid in $PIDS; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  [ -n "${KEEP:-}" ] && echo "logs: $RUN" >&2 || rm -rf "$RUN"
}
trap finish EXIT
unable () { echo "cannot run: $*" >&2; exit 2; }
now_ms () { date +%s%3N; }
note () { echo "$(now_ms) script $*" >> "$RECORD"; }

launch () { # name command...
  local name=$1; shift
  "$@" >> "$RUN/$name.log" 2>&1 &
  eval "PID_${name//-/_}=$!"
  PIDS="$PIDS $!"
}
# Runs a client beside the script; wait_background waits for all of them.
in_background () { "$@" > /dev/null & CLIENTS_RUN="$CLIENTS_RUN $!" PIDS="$PIDS $!"; }
wait_background () { [ -z "$CLIENTS_RUN" ] || wait $CLIENTS_RUN; CLIENTS_RUN=; }
pid_of () { eval "echo \$PID_${1//-/_}"; }

# render TEMPLATE OUT ADDRESS NAME: fills in a template of the deploy file for one VM.
render () {
  sed -e "s/{{#advisor}}.*//" -e "s/{{\/advisor}}//" \
    -e "s/{{node_name}}/$4/" -e "s/{{region}}/region/" -e "s/{{zone}}/zone-a/" \
    -e "s/{{platform.address}}/$STORE/" -e "s/{{ip}}/$3/" \
    -e "s/{{internal_port_range.0}}/$INNER/" -e "s/{{listen.frontend}}/$3:$FRONT/" \
    -e "s/{{listen.readiness}}/$3:$READY/" -e "s/{{listen.control_plane}}/$3:$CONTROL/" \
    -e "s/{{seeds}}/$SEEDS/" -e "s/{{app}}/$3:$APP/" -e "s/{{bounds.max_hold_ms}}/1000/" \
    -e "s/{{bounds.grace_s}}/6/" -e "s/{{bounds.resend_ms}}/1300/" \
    -e "s/{{bounds.stop_timeout_ms}}/50/" -e "s/{{bounds.config_apply_ms}}/2000/" \
    -e "s/{{bounds.remote_factor}}/1.5/" -e "s/:9464/:$METRICS/" "$1" > "$2"
}

# command ROLE: the words of "run" of a role of the deploy file, with the settings' path replaced.
role_command () {
  sed -n "/^\[roles\.$1\]/,/^\[/s/^run = \"\(.*\)\"/\1/p" deploy/system.toml \
    | sed "s#/etc/mulberrydrift/local.json#$2#"
}

entry_ip () { echo "127.0.0.$((10 + $1))"; }
side_ip () { echo "127.0.0.$((30 + $1))"; }
start_entry () { # n
  render deploy/run-entry.yaml "$RUN/entry-$1.yaml" "$(entry_ip "$1")" "entry-$1"
  launch "entry-$1" $(role_command entry "$RUN/entry-$1.yaml")
}
start_guard () { # n
  render deploy/run-guard.yaml "$RUN/guard-$1.yaml" "$(side_ip "$1")" "guard-$1"
  launch "guard-$1" $(role_command guard "$RUN/guard-$1.yaml")
}
alive () { kill -0 "$(pid_of "$1")" 2>/dev/null; } # name
# How a process ended: the number of the signal, 0 if it was none.
signal_of () { # name
  local status=0
  wait "$(pid_of "$1")" 2>/dev/null || status=$?
  echo $((status > 128 ? status - 128 : 0))
}
wait_for () { # seconds command...
  local left=$(($1 * 20))
  shift
  while ! "$@"; do
    left=$((left - 1))
    [ $left -gt 0 ] || return 1
    sleep 0.05
  done
}
ready () { [ "$("$TOOLS/client" call /dev/null GET "$(entry_ip "$1"):$READY" /v1/readyz | cut -c1-3)" = 200 ]; }
# Whether an entry has reports of so many workers that are ready.
sees () { # entry workers
  [ "$(grep -o 'event=upstream-state guard=[a-z0-9-]* worker=[a-z0-9-]* state=1' "$RUN/entry-$1.log" \
    | sort -u | wc -l)" -ge "$2" ]
}

# start_lab ENTRIES WORKERS CPU: workers have CPU thousandths of a core each.
start_lab () {
  local n list=
  [ -x "$TOOLS/workers" ] && [ -x target/mulberrydrift ] || unable "review/build.sh has not been run"
  set -- "$1" "$2" "$3" $("$TOOLS/freeport" 8)
  [ $# = 11 ] || unable "no free ports"
  ENTRIES=$1 WORKERS=$2 CPU=$3 INNER=$4 FRONT=$5 READY=$6 CONTROL=$7 APP=$8 METRICS=$9 VIA=${10}
  STORE=127.0.0.1:${11}
  SEEDS=
  for n in $(seq "$ENTRIES"); do SEEDS=$SEEDS${SEEDS:+,}$(entry_ip "$n"):$CONTROL; done
  launch store "$TOOLS/platform-store" --listen "$STORE"
  wait_for 10 "$TOOLS/client" config "$STORE" 3 /calc/ || unable "the store does not start"
  for n in $(seq "$ENTRIES"); do start_entry "$n"; done
  for n in $(seq "$WORKERS"); do
    start_guard "$n"
    list="$list i-$n,$(side_ip "$n"):$APP,$(side_ip "$n"):$CONTROL,$CPU"
  done
  sleep 0.3
  launch workers "$TOOLS/workers" "$RECORD" 1500 $list
  for n in $(seq "$ENTRIES"); do
    wait_for 20 sees "$n" "$WORKERS" || unable "entry-$n does not see every worker"
    wait_for 5 ready "$n" || unable "entry-$n is not ready"
  done
  sleep 0.5
}
