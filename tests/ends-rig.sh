#!/usr/bin/env bash
# Real processes on the layout of a deployment, under random events, with every end judged:
#   SEED=n RUNS=n EVENTS=n [KINDS="freeze kill ..."] bash tests/ends-rig.sh
#
# 4 entries and 11 guards with their workers meet through the fault proxy, while callers submit jobs.
# Events come in series and overlap:
#   freeze    a process stands still for 0.2 to 4 s
#   kill      a process is killed and restarted, at once or after up to a second, or three times
#   term      it is ended by SIGTERM and restarted
#   settings  its settings file is rewritten: by rename, in place, byte by byte, with a pause,
#             emptied, removed or with faults, with SIGHUP before and after
#   late      it is restarted before its settings file is complete
#   busy      it is restarted while another process has one of its ports
#   early     SIGHUP comes as soon as its main function has begun
#   odd       malformed requests at every HTTP address, random bytes at the internal ports
#   reset     connections are reset; wake: those of a process that stands still meanwhile
# Guards against processes that end by themselves: each end that no signal of the rig ordered counts,
# at any time, and so does each ordered one with an unexpected status (judge_ends). After the last
# event every entry serves again, and SIGTERM ends all processes. One line a run. KEEP_LOGS=DIR keeps
# the logs of those that fail; MD_DAEMON=FILE plays the daemons of another build; LOAD_OPTIONS and
# FUZZ_OPTIONS are further options of jobload and fuzzload.
cd "$(dirname "$0")/.."
. tests/rounds.sh
SEED=${SEED:-1} RUNS=${RUNS:-1} AT_A_TIME=${AT_A_TIME:-1} EVENTS=${EVENTS:-30}
KINDS=${KINDS:-freeze kill term settings settings late busy early odd odd reset wake}

note () { echo "$*" >> "$RUN/faults"; }

# Restarts NAME. An event that follows finds its main function, not the loader of the program.
rig_restart () { # name
  restart "$1"
  wait_for 5 in_main "$1"
}

# Whether main has begun, which ignores SIGPIPE first.
in_main () { # name
  local key value pid
  read -r pid _ < "$RUN/$1.pid"
  read -r value 2>/dev/null < "/proc/$pid/comm" && [ "$value" = mulberrydrift ] || return 1
  while read -r key value; do
    [ "$key" = SigIgn: ] && return $((!(16#$value & 0x1000)))
  done 2>/dev/null < "/proc/$pid/status"
  return 1
}

early_hup () { # name
  local left=3000
  send_signal KILL "$1"
  restart "$1"
  until in_main "$1" || [ $((left--)) = 0 ]; do :; done
  send_signal HUP "$1"
  sleep 0.005
  send_signal HUP "$1"
}

# A settings file that may replace the present one: reloadable changes, and a long comment.
new_settings () { # name level factor
  grep -v '^log_level\|^remote_factor\|^#\|^\.\.\.$' "$RUN/$1.yaml"
  printf 'log_level: %s\n' "$2"
  [ "${1%%-*}" = guard ] || printf 'remote_factor: %s\n' "$3"
  printf '# %0400d\n' 0
  [ -z "$SETTINGS_TAIL" ] || echo "$SETTINGS_TAIL"
}

rewrite () { # name way part(0..9) pause
  local file=$RUN/$1.yaml text size
  text=$(cat "$RUN/next-$1")$'\n'
  size=$((${#text} * $3 / 10))
  case $2 in
    rename) printf %s "$text" > "$file.new"; mv "$file.new" "$file" ;;
    whole) printf %s "$text" > "$file" ;;
    bytes) : > "$file"
      local i
      for ((i = 0; i < ${#text}; i++)); do
        printf %s "${text:i:1}" >> "$file"
        [ $((i % 100)) = 0 ] && { send_signal HUP "$1"; sleep 0.01; }
      done ;;
    pause) printf %s "${text:0:size}" > "$file"; send_signal HUP "$1"; sleep "$4"
      printf %s "${text:size}" >> "$file" ;;
    emptied) : > "$file"; send_signal HUP "$1"; sleep "$4"; printf %s "$text" > "$file" ;;
    removed) rm -f "$file"; send_signal HUP "$1"; sleep "$4"; printf %s "$text" > "$file" ;;
    faulty) printf '%s\nentry_port: none\n  - [\n' "$text" > "$file"; send_signal HUP "$1"; sleep "$4"
      printf %s "$text" > "$file" ;;
  esac
  send_signal HUP "$1"
}

# The process is launched while its settings file lacks its end, or everything.
late_settings () { # name part pause
  local file=$RUN/$1.yaml text size
  send_signal KILL "$1"
  text=$(cat "$file")$'\n'
  size=$((${#text} * $2 / 10))
  printf %s "${text:0:size}" > "$file"
  KEEP_SETTINGS=1 restart "$1"
  sleep "$3"
  printf %s "${text:size}" >> "$file"
}

# Another process has one of the ports before the restarted one asks for it.
busy_port () { # name index pause
  local n=${1#*-} ports register
  case $1 in
    entry-*) ports=("127.0.0.$((10 + n)):$CALLERS" "127.0.0.$((10 + n)):$READY" \
      "127.0.0.$((10 + n)):$INNER" "127.0.0.$((10 + n)):$METRICS") ;;
    guard-*) eval "register=\$REGISTER_$n"; ports=("$register" "127.0.0.$((50 + n)):$METRICS") ;;
  esac
  local port=${ports[$2 % ${#ports[@]}]}
  send_signal KILL "$1"
  while running "$1"; do sleep 0.01; done
  launch "holder-$1" "$BIN/tests/platform-store" --listen "$port"
  wait_for 2 curl -s -m 1 -o /dev/null "http://$port/control"
  restart "$1"
  sleep "$3"
  send_signal KILL "holder-$1"
}

odd_requests () { # seed
  local n callers= others= frames= reports= register
  for n in $(seq "$ENTRIES"); do
    callers=$callers,127.0.0.$((10 + n)):$CALLERS
    others=$others,127.0.0.$((10 + n)):$READY,127.0.0.$((10 + n)):$METRICS
    frames=$frames,127.0.0.$((10 + n)):$INNER
  done
  for n in $(seq "$GUARDS"); do
    eval "register=\$REGISTER_$n"
    reports=$reports,$register
    others=$others,127.0.0.$((50 + n)):$METRICS
  done
  "$BIN/tests/fuzzload" --callers "$callers" --reports "$reports" --others "$others" --frames "$frames" \
    --threads 4 --requests 40 --seed "$1" ${FUZZ_OPTIONS:-}
}

# Runs an event that keeps others from the process NAME.
occupy () { # name command...
  local name=$1
  shift
  if [ -e "$RUN/busy-$name" ]; then return; fi
  : > "$RUN/busy-$name"
  [ "$1" = rig_restart ] || note "$*"
  { "$@"; rm -f "$RUN/busy-$name"; } &
}

freeze () { send_signal STOP "$1"; sleep "$2"; send_signal CONT "$1"; }
wake () { send_signal STOP "$1"; sleep 0.05; command_proxy close '*'; sleep "$2"; send_signal CONT "$1"; }
kill_often () { # name times pause
  local i
  for i in $(seq "$2"); do send_signal KILL "$1"; sleep "$3"; rig_restart "$1"; done
}
term_once () { one_fault term "$1" 0; wait_for 5 in_main "$1"; }

# What ended by itself comes back, as on a deployment, so that it can be found to end again.
revive_ended () {
  local name
  for name in $(daemons); do
    [ -e "$RUN/busy-$name" ] || running "$name" || occupy "$name" rig_restart "$name"
  done
}

# All random numbers are drawn whatever happens, so that the events follow from the seed.
rig_event () {
  local names= n name kind a=$RANDOM b=$RANDOM c=$RANDOM
  for n in $(seq "$ENTRIES"); do names="$names entry-$n entry-$n"; done
  for n in $(seq "$GUARDS"); do names="$names guard-$n"; done
  some "$names"; name=$PICK
  some "$KINDS"; kind=$PICK
  local short="$((a % 2)).$((1 + b % 9))" long="$((a % 4)).$((2 + b % 8))"
  local ways=(rename whole bytes pause emptied removed faulty pause emptied) levels=(info debug warn)
  case $kind in
    freeze) occupy "$name" freeze "$name" "$long" ;;
    kill) occupy "$name" kill_often "$name" $((c % 3 == 0 ? 3 : 1)) "0.$((a % 2 * (b % 10)))" ;;
    term) occupy "$name" term_once "$name" ;;
    settings) [ -e "$RUN/busy-$name" ] && return
      new_settings "$name" "${levels[a % 3]}" "1.$((b % 10))" > "$RUN/next-$name"
      occupy "$name" rewrite "$name" "${ways[c % ${#ways[@]}]}" $((b % 10)) "$short" ;;
    late) occupy "$name" late_settings "$name" $((b % 10)) "$short" ;;
    busy) occupy "$name" busy_port "$name" "$b" "$short" ;;
    early) occupy "$name" early_hup "$name" ;;
    odd) note odd; odd_requests "$c" & ;;
    reset) note reset; command_proxy close '*' ;;
    wake) occupy "$name" wake "$name" "0.$((1 + b % 9))" ;;
  esac
}

one_run () { # seed
  . tests/platform.sh
  ENTRIES=4 GUARDS=11 RANDOM=$1
  # As on a deployment; another build may not know the marker.
  [ -n "${MD_DAEMON:-}" ] || SETTINGS_HEAD="end_marker: required" SETTINGS_TAIL=...
  start_proxied "$1"
  local n i servers= bad=
  for n in $(seq "$ENTRIES"); do servers=$servers${servers:+,}127.0.0.$((10 + n)):$CALLERS; done
  launch load "$BIN/tests/jobload" --servers "$servers" --threads 8 --jobs 100000 --tasks 8 --ms 60 \
    --leave 8 --pause 40 --attempts 4 --seed "$1" --results "$RUN/results" ${LOAD_OPTIONS:-}
  for i in $(seq "$EVENTS"); do
    sleep "0.$((RANDOM % 5 + 1))"
    rig_event
    revive_ended
  done
  wait # for the events
  revive_ended
  wait
  command_proxy heal '*'
  for n in $(seq "$ENTRIES"); do wait_for 20 serves "$n" || bad="$bad entry-$n-serves-no-more"; done
  send_signal KILL load
  stop_daemons
  local words
  words=$(judge_ends)
  [ -e "$RUN/overdue" ] && bad="$bad $(tr ' \n' '-,' < "$RUN/overdue")"
  bad="$bad${words:+ $words}"
  echo "seed=$1 ends=$(wc -w <<< "$words") ${bad:+BROKEN:$bad }events=$(wc -l < "$RUN/faults"):$(sed 's/ .*//' "$RUN/faults" | sort | uniq -c | awk '{ printf "%s%s=%d", s, $2, $1; s = "," }')"
  [ -z "$bad" ] || keep_logs "$1"
  [ -z "$bad" ]
}

if [ "${1:-}" = one ]; then report_run "$2"; exit; fi

out=$(mktemp)
run_rounds tests/ends-rig.sh | tee "$out"
awk -v runs="$RUNS" '
  /^seed=/ { done++; broken += /BROKEN/; sub(/^ends=/, "", $2); ends += $2 }
  END { printf "rig runs=%d broken=%d ends=%d\n", done, broken, ends; exit done != runs || broken > 0 }' "$out"
status=$?
rm -f "$out"
exit $status
