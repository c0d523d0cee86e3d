#!/usr/bin/env bash
# Randomized faults against real processes on stand-ins of the users' platform:
#   SEED=n RUNS=n bash tests/soak.sh
#
# Entries and guards meet through a loopback proxy that delays, resets, cuts one way or
# silences connections; so do guards and workers, and both daemons and the store. Processes are paused, killed,
# stopped and restarted by signals, and their wall clocks jump; the store is silent, busy,
# slow, forgetful, loses answers or carries appends out late; workers lose orders, fail,
# hang or drain; configurations come. Orders reach a worker whose connection then breaks
# before the response; a guard is paused right before all its connections are reset;
# other writers report to guards. Each guard has a failure domain of its own, which is evacuated and put back into
# use. Stops take up to the time that the platform allows, and holds
# answer late.
# Faults overlap.
# Judged from what callers and workers saw: no two runs of a task at once, no start of a
# rejected job, no start on a worker that drains, none in a domain that was evacuated 5 s ago, no configuration older than one that the
# same process had; and after the last fault every entry
# serves again, with the newest configuration; and no process ended but those that a fault
# or the end of the run stopped, with the status that belongs to the signal.
# KEEP_LOGS=DIR keeps the logs of a failure.
cd "$(dirname "$0")/.."
. tests/rounds.sh
SEED=${SEED:-1} RUNS=${RUNS:-4} AT_A_TIME=${AT_A_TIME:-3} FAULTS=${FAULTS:-8}

inject () {
  local names="entry-1 entry-2 guard-1 guard-2 guard-3" d="$((RANDOM % 2)).$((RANDOM % 9 + 1))"
  local route kind name
  set -f
  some "e1 e2 w1 w2 w3 *"; route=$PICK
  some "kill pause term kill pause silence cut cut delay close store worker worker config"; kind=$PICK
  set +f
  case $kind in
    kill | pause | term)
      some "$names"; name=$PICK
      [ -e "$RUN/busy-$name" ] && return
      echo "$kind:$name:$d" >> "$RUN/faults"
      : > "$RUN/busy-$name"
      { one_fault "$kind" "$name" "$d"; rm -f "$RUN/busy-$name"; } & ;;
    silence) echo "silence:$route" >> "$RUN/faults"; command_proxy silence "$route" ;;
    close) echo "close:$route" >> "$RUN/faults"; command_proxy close "$route" ;;
    cut) some "up down both"; name=$PICK; echo "cut:$route:$name:$d" >> "$RUN/faults"
      command_proxy cut "$route" "$name"; { sleep "$d"; command_proxy heal "$route"; } & ;;
    delay) echo "delay:$route:$d" >> "$RUN/faults"
      command_proxy delay "$route" both 20 60; { sleep "$d"; command_proxy heal "$route"; } & ;;
    store) some "silent busy slow lost forget"; name=$PICK; echo "store:$name:$d" >> "$RUN/faults"
      store_mode "$name"; { sleep "$d"; store_mode normal; } & ;;
    worker) some "lost lost fail hang drain"; name=$PICK; n=$((RANDOM % GUARDS + 1))
      echo "worker-$n:$name:$d" >> "$RUN/faults"
      worker_mode "$n" "$name"; { sleep "$d"; worker_mode "$n" normal; } & ;;
    config) VERSION=$((VERSION + RANDOM % 5 + 1)); echo "config:$VERSION" >> "$RUN/faults"
      # Without an answer it may be in force or not; an operator repeats it, see below.
      put_config "$VERSION" /calc/ "/v$VERSION/" && LAST=$VERSION || UNSURE=1 ;;
  esac
}

# A report that does not come from the worker of the guard.
stray_report () { # guard form
  local register id=i-0badc0de method=PUT fields='"service":"calc","version":"v1","state":"ready"'
  eval "register=\$REGISTER_$1"
  case $2 in
    0) ;; # no birth, no sequence number, no clock
    1) id=i-$1; fields="$fields,\"born\":$(date +%s%3N),\"sequence\":1,\"clock_ms\":0" ;;
    2) id=i-$1; fields="$fields,\"born\":4102444800000,\"sequence\":9007199254740991" ;;
    3) id=i-$1; fields="${fields/calc/elsewhere},\"born\":1,\"sequence\":9007199254740991" ;;
    4) method=DELETE ;;
    5) fields="$fields,\"born\":1e30,\"sequence\":\"next\"" ;;
  esac
  curl -s -m 1 -o /dev/null -X "$method" "http://$register/v1/instances/$id" \
    -d "{$fields,\"slots\":8,\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":0}}"
}

# Without an answer of the store the request may be in effect or not, and only the return is judged.
evacuate_for () { # guard seconds
  if put_evacuate "zone-$1"; then sleep 5; mark_evacuated "$1"; sleep $(($2 - 5)); else sleep "$2"; fi
  mark_returned "$1"
  until clear_evacuate "zone-$1"; do sleep 0.2; done
}

# Does not draw from RANDOM, so that a seed keeps the faults of inject.
inject_more () { # seed index
  local names=(entry-1 entry-2 guard-1 guard-2 guard-3)
  local name=${names[($1 + $2) % 5]} ms=$((($1 * 37 + $2 * 911) % 10001 - 5000))
  local guard=$((($1 + $2 / 3) % GUARDS + 1)) pid
  if [ $((($1 + 3 * $2) % 3)) = 0 ]; then
    echo "clock:$name:$ms" >> "$RUN/faults"
    step_clock "$name" "$ms"; { sleep 2; step_clock "$name" 0; } &
  fi
  if [ $((($1 + 5 * $2) % 7)) = 0 ]; then
    echo "store:late" >> "$RUN/faults"
    store_mode late; { sleep 1; store_mode normal; } &
  fi
  if [ $((($1 + 3 * $2) % 4)) = 2 ]; then
    echo "silence:s" >> "$RUN/faults"
    command_proxy silence s
  fi
  if [ $((($1 + 2 * $2) % 3)) = 0 ]; then
    echo "stray:guard-$guard:$((($1 / 3 + $2) % 6))" >> "$RUN/faults"
    stray_report "$guard" $((($1 / 3 + $2) % 6)) &
  fi
  if [ $((($1 + $2) % 3)) = 1 ]; then
    echo "unanswered:w$guard" >> "$RUN/faults"
    command_proxy unanswered "w$guard" 6
  fi
  if [ "$2" = $((1 + $1 % 3)) ]; then
    echo "evacuate:zone-$guard" >> "$RUN/faults"
    : > "$RUN/busy-evacuation"
    { evacuate_for "$guard" $((6 + $1 % 3)); rm -f "$RUN/busy-evacuation"; } &
  fi
  if [ $((($1 + 2 * $2) % 5)) = 0 ] && [ ! -e "$RUN/busy-guard-$guard" ]; then
    echo "paused-resets:guard-$guard" >> "$RUN/faults"
    : > "$RUN/busy-guard-$guard"
    { send_signal STOP "guard-$guard"; sleep 0.05
      command_proxy close '*'
      sleep "0.$((1 + ($1 + $2) % 4))"; send_signal CONT "guard-$guard"
      rm -f "$RUN/busy-guard-$guard"; } &
  fi
}

# Configurations that an entry went back to within one lifetime.
went_back () { # log
  awk '/^event=launched$/ { last = 0 }
    match($0, / event=config-applied version=[0-9]+/) {
      version = substr($0, RSTART + 30, RLENGTH - 30) + 0
      if (version <= last) n++
      last = version
    }
    END { print n + 0 }' "$1"
}

has_queue () { # entry prefix
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' "http://127.0.0.$((10 + $1)):$CALLERS$2")" = 200 ]
}

one_run () { # seed
  . tests/platform.sh
  RANDOM=$1 VERSION=3 LAST= UNSURE=
  DOMAIN_1=zone-1 DOMAIN_2=zone-2 DOMAIN_3=zone-3
  # Not drawn from RANDOM either; see inject_more.
  STOP_MS=$((($1 % 3) * 25)) HOLD_LATE_MS=$((($1 % 4 == 3) * 10))
  start_proxied "$1"
  "$BIN/tests/jobload" --servers "127.0.0.11:$CALLERS,127.0.0.12:$CALLERS" --threads 8 --jobs 60 \
    --tasks 6 --ms 120 --leave 8 --pause 40 --attempts 4 --seed "$1" --results "$RUN/results" > "$RUN/load.out" 2>&1 &
  local load=$! bad=
  local i
  for i in $(seq "$FAULTS"); do
    sleep "0.$((RANDOM % 9 + 1))"
    inject
    inject_more "$1" "$i"
  done
  wait "$load"
  while ls "$RUN"/busy-* > /dev/null 2>&1; do sleep 0.1; done
  sleep 2.5
  command_proxy heal '*'
  store_mode normal
  if [ -n "$UNSURE" ]; then
    VERSION=$((VERSION + 1))
    put_config "$VERSION" /calc/ "/v$VERSION/" && LAST=$VERSION || bad="$bad store-refuses"
  fi
  for n in $(seq "$GUARDS"); do worker_mode "$n" normal; done
  for n in $(seq "$ENTRIES"); do
    wait_for 12 serves "$n" || bad="$bad entry-$n-serves-no-more"
    [ "$(went_back "$RUN/entry-$n.log")" = 0 ] || bad="$bad entry-$n-config-went-back"
    [ -z "$LAST" ] || wait_for 5 has_queue "$n" "/v$LAST/" || bad="$bad entry-$n-config"
  done
  sleep 3 # orders that are carried out late
  stop_daemons
  bad="$bad$(judge_ends)"
  [ -e "$RUN/overdue" ] && bad="$bad $(tr ' \n' '-,' < "$RUN/overdue")"
  local sums
  sums=$(judge_runs "$RUN/journal" "$RUN/results" 2>> "$RUN/verdict")
  echo "$sums" | grep -q 'twice=0 false_not_run=0 drained=0 .* evacuated=0' || bad="$bad $(tr '\n' ',' < "$RUN/verdict")"
  echo "seed=$1 ${bad:+BROKEN:$bad }$sums faults=$(tr '\n' ' ' < "$RUN/faults")"
  [ -z "$bad" ] || keep_logs "$1"
  [ -z "$bad" ]
}

if [ "${1:-}" = one ]; then report_run "$2"; exit; fi

out=$(mktemp)
run_rounds tests/soak.sh | tee "$out"
awk -v runs="$RUNS" '
  /^seed=/ { done++
    broken += /BROKEN/
    for (i = 1; i <= NF; i++) { split($i, kv, "="); sum[kv[1]] += kv[2] } }
  END {
    printf "soak runs=%d broken=%d starts=%d twice=%d false_not_run=%d drained=%d evacuated=%d completed=%d rejected=%d unknown=%d\n",
      done, broken, sum["starts"], sum["twice"], sum["false_not_run"], sum["drained"], sum["evacuated"],
      sum["completed"], sum["rejected"], sum["unknown"]
    exit done != runs || broken > 0
  }' "$out"
status=$?
rm -f "$out"
exit $status
