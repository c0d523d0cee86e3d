#!/usr/bin/env bash
# Runs a guard against a stand-in upstream, with a driver that plays its entries
# over the wire, and compares what the entries saw with tests/run-guard.expected.
# The upstream's journal is the judge of double starts.
set -u
cd "$(dirname "$0")/.."
bin=${MD_BIN:-build/release}
tmp=$(mktemp -d)
pids=()
failed=0

# Only what still runs: an id may have been given to another program's thread since.
cleanup () {
  for p in $(jobs -pr); do
    case " ${pids[*]} " in *" $p "*) kill "$p" 2> /dev/null ;; esac
  done
  rm -rf "$tmp"
}
trap cleanup EXIT

# The first words of a file's lines that start with "listening", N of them.
addresses () { # file n
  for _ in $(seq 200); do
    [ "$(grep -c '^listening' "$1" 2> /dev/null)" = "$2" ] && break
    sleep 0.05
  done
  awk '/^listening/ { print $2 }' "$1"
}

start_upstream () { # options
  "$bin/tests/upstreamd" --journal "$tmp/journal" "$@" > "$tmp/upstream" &
  pids+=($!)
  upstream=$(addresses "$tmp/upstream" 1)
}

# The log address is a port on which nobody listens: registration fails, and the
# entries come from the command line.
write_settings () { # drain_timeout_ms
  cat > "$tmp/guard.yaml" << EOF
role: guard
name: guard-1
region: lusitania
failure_domain: lusitania-a
log_address: 127.0.0.1:9
upstream_address: $upstream
pool: pool
slots: 2
connections: 8
cores: 4
memory_mb: 1024
drain_timeout_ms: $1
log_level: info
EOF
}

# The commands come through a pipe, because some need the guard's process id.
run_scenario () { # name entries; commands on stdin
  local args=() fifo="$tmp/commands"
  rm -f "$fifo"
  : > "$tmp/journal"
  mkfifo "$fifo"
  timeout 120 "$bin/tests/guard-driver" "$2" "$upstream" < "$fifo" > "$tmp/seen" &
  local driver=$!
  pids+=("$driver")
  exec 3> "$fifo"
  for a in $(addresses "$tmp/seen" "$2"); do args+=(--entry "$a"); done
  "$bin/mulberrydrift" guard --config "$tmp/guard.yaml" "${args[@]}" 2> "$tmp/$1.log" 3>&- &
  local guard=$!
  pids+=("$guard")
  sed "s/GUARD/$guard/" >&3
  exec 3>&-
  wait "$driver"
  local driver_status=$?
  kill "$guard" 2> /dev/null
  wait "$guard"
  local guard_status=$?
  {
    echo "== $1"
    grep -v '^listening' "$tmp/seen"
    echo "driver exit $driver_status, guard exit $guard_status"
    awk '{ print "journal key=" $1 " task=" $2 }' "$tmp/journal" | sed 's/key=0*/key=/' | sort
  } >> "$tmp/out"
}

start_upstream --keep-alive-ms 300
write_settings 200

# A start runs once, however often it arrives; a guard incarnation that is not this
# process runs nothing; a release frees the answer.
run_scenario duplicates 1 << 'EOF'
wait A
attach A
lease A
start A 1 0 /calc?ms=20
answers A 1
start A 1 0 /calc?ms=20
answers A 1
start A 2 0 /calc?ms=300
start A 2 0 /calc?ms=300
answers A 1
start A 3 0 /calc?status=503&bytes=100
answers A 1
start A 4 0 /calc 1000 wrong
answers A 1
release A 1
start A 1 0 /calc?ms=20
answers A 1
none A
EOF

# A second entry may not fence a live holder; it may once the holder is silent. The
# fenced entry's starts are refused for good, also the one that still waits for a slot,
# and the answers move.
run_scenario fence 2 << 'EOF'
wait A
wait B
attach A
lease A
start A 1 0 /calc
answers A 1
attach B A
start A 5 0 /calc?ms=2500
start A 5 1 /calc?ms=2500
start A 5 2 /calc
mute A
sleep 1800
attach B A
answers B 4
drop A
unmute A
wait A
start A 2 0 /calc
answers A 1
lease B
start B 2 0 /calc
answers B 1
EOF

# A task that the guard never saw is refused for good once it was asked for; a
# cancel stops what waits; a start without a lease is refused.
run_scenario refusals 1 << 'EOF'
wait A
attach A
start A 9 0 /calc
answers A 1
lease A
query A 1 0
answers A 1
start A 1 0 /calc
answers A 1
start A 2 0 /calc?ms=400
start A 2 1 /calc?ms=400
start A 2 2 /calc?ms=400
cancel A 2
answers A 3
start A 2 3 /calc
answers A 1
noecho A
sleep 3300
start A 3 0 /calc
answers A 1
EOF

# An upstream that closes, hangs or breaks off gives outcome broken and is not asked
# again; one that closed an idle connection is asked on a new one.
run_scenario broken 1 << 'EOF'
wait A
attach A
lease A
start A 1 0 /calc
answers A 1
sleep 700
start A 1 1 /calc
answers A 1
control close
start A 2 0 /calc
answers A 1
control hang
start A 3 0 /calc 300
answers A 1
control normal
start A 4 0 /calc
answers A 1
none A
EOF

# The answer of a task that ran while the connection broke goes to the next one, and
# so does one whose arrival was not acknowledged: a muted entry acknowledges nothing.
run_scenario reconnect 1 << 'EOF'
wait A
attach A
lease A
start A 1 0 /calc?ms=600
sleep 100
drop A
wait A
query A 1 0
answers A 1
mute A
start A 2 0 /calc
answers A 1
unmute A
drop A
wait A
answers A 2
none A
EOF

# SIGTERM: entries are told, new starts are refused, what runs is finished and
# answered before the guard ends with status 0.
write_settings 20000
run_scenario leaving 1 << 'EOF'
wait A
attach A
lease A
start A 1 0 /calc?ms=700
sleep 200
signal GUARD
leaving A
start A 2 0 /calc
answers A 1
answers A 1
gone A
EOF

if ! diff tests/run-guard.expected "$tmp/out"; then
  failed=1
  tail -n 40 "$tmp"/*.log
fi
exit "$failed"
