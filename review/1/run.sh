#!/usr/bin/env bash
# Case 1: while an entry is frozen, half of its channels are reset; their clients repeat their jobs
# at the other entry. The entry wakes, does not see that the channels were reset, and runs the jobs
# as well. TROUBLE=0: the same jobs without the freeze and the resets.
. "$(dirname "$0")/../lab.sh"
RESEND_S=1.3 # resend_ms
FREEZE_S=2.4
RESET_AFTER_S=0.4
CLIENTS=4
ROUNDS=3

start_lab 2 6 2000
JOB='{"best_effort":true,"spec":"ms=1200 cpu=1000","steps":[{"count":2,"cpu":1000,"mem_mb":64,"estimated_ms":1200}]}'
launch forward "$TOOLS/client" forward "$(entry_ip 1):$VIA" "$(entry_ip 1):$FRONT"
sleep 0.2

# The channel goes to entry 1. Without an answer the job is handed in again, at entry 2.
client () { # id
  local answer
  answer=$("$TOOLS/client" post "$RECORD" "$(entry_ip 1):$VIA" "$1" 1500 "$JOB")
  case $answer in
    broken | none | 502* | 504*)
      sleep $RESEND_S
      "$TOOLS/client" post "$RECORD" "$(entry_ip 2):$FRONT" "$1" 1500 "$JOB" > /dev/null ;;
  esac
}

for round in $(seq $ROUNDS); do
  if [ "$TROUBLE" != 0 ]; then
    note "entry-1 freezes"
    kill -STOP "$(pid_of entry-1)"
  fi
  for i in $(seq $CLIENTS); do in_background client 0000000000000b$round$i; done
  if [ "$TROUBLE" != 0 ]; then
    sleep $RESET_AFTER_S
    note "half of the channels of entry-1 are reset"
    kill -USR1 "$(pid_of forward)"
    sleep "$(awk "BEGIN { print $FREEZE_S - $RESET_AFTER_S }")"
    note "entry-1 wakes"
    kill -CONT "$(pid_of entry-1)"
  fi
  wait_background
  sleep 2
  if ! alive entry-1; then # see case 3; the platform starts a process that has ended again
    note "entry-1 has ended by itself, signal $(signal_of entry-1)"
    start_entry 1
    wait_for 10 ready 1 || unable "entry-1 does not come back"
    sleep 1
  fi
done

"$CASE/../judge.sh" twice "$RECORD"
