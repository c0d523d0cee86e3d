#!/usr/bin/env bash
# Faults of connections between processes, through the fault-injecting proxy.
# Guards against work that hangs on a connection that went silent for good, against
# starts or answers that count twice when frames are sent twice or out of order,
# against a link cut in one direction, and against two entries that fence each
# other in turns when they cannot reach each other.
cd "$(dirname "$0")/.."
. tests/cluster.sh
. tests/judge.sh

expect () { # what got wanted
  [ "$2" = "$3" ] || fail "$1: got '$2', wanted '$3'"
  echo "ok: $1"
}
command_proxy () {
  exec 9<> "/dev/tcp/${CONTROL%:*}/${CONTROL#*:}"
  echo "$*" >&9
  read -r reply <&9
  exec 9>&-
  case $reply in ok*) ;; *) fail "proxy: $*: $reply" ;; esac
}
serves () { grep -h 'event=shard-serve' "$RUN"/entry-*.log | wc -l; }
load () {
  "$BIN/tests/loadgen" --servers "$CALLER_1,$CALLER_2" --token alentejo-secret --customer alentejo \
    --threads 6 --jobs 20 --tasks-max 12 --ms-min 5 --ms-max 60 --deadline 20000 --attempts 6 \
    --uuid --prefix "$1" --results "$RUN/results" > "$RUN/load.$1" 2>&1
}
# A cut longer than fence_after may move the shard without its guards' records.
# Jobs submitted before the cut time are then refused as unproven, or lost with
# their guard; every job that was not answered must be one of those.
check_cut () { # what load before
  local missing=$((120 - $(grep -o 'done=[0-9]*' "$RUN/load.$2" | cut -d= -f2)))
  expect "$1" "$(judge "$RUN/journal" "$RUN/results" | grep -o 'double.*wrong_answer=[0-9]*')" \
    "double=0 partial=0 false_not_run=0 wrong_answer=0"
  # A job whose last attempt was refused as not run has a plain answer too; the
  # judge has just checked that the refusals are true.
  missing=$((missing - $(awk '{ split($1, kv, "="); last[kv[2]] = $0 }
    END { for (k in last) n += last[k] ~ /outcome=not_run/; print n + 0 }' "$RUN/results")))
  if [ "$missing" -gt $(($(explained) - $3)) ]; then
    awk '{ split($1, kv, "="); last[kv[2]] = $0 } END { for (k in last) if (last[k] !~ /status=200/) print last[k] }' \
      "$RUN/results" | tee "$RUN/unanswered"
    show_job "$(sed -n '1s/^key=\([^ ]*\) .*/\1/p' "$RUN/unanswered")"
    fail "$1: $missing jobs without an answer"
  fi
}
explained () {
  cat "$RUN"/entry-*.log | grep -cE 'event=(refuse|finish) .*reason=(unproven|guard-lost|answer-gone)'
}
check () { # what load
  expect "$1" "$(judge "$RUN/journal" "$RUN/results" | grep -o 'double.*wrong_answer=[0-9]*') $(grep -o 'done=[0-9]*' "$RUN/load.$2")" \
    "double=0 partial=0 false_not_run=0 wrong_answer=0 done=120"
}

start_log
reserve_entry 1
reserve_entry 2
start proxy "$BIN/tests/faultproxy" "e1=$INTERNAL_1" "e2=$INTERNAL_2"
proxy_ready () { grep -q '^control listening' "$RUN/proxy.out"; }
wait_for 20 proxy_ready || fail "the proxy did not start"
CONTROL=$(sed -n 's/^control listening //p' "$RUN/proxy.out")
ADVERTISED_1=$(sed -n 's/^route e1 listening //p' "$RUN/proxy.out")
ADVERTISED_2=$(sed -n 's/^route e2 listening //p' "$RUN/proxy.out")
start_entry 1
start_entry 2
declare_pool 1
for n in 1 2 3; do start_upstream $n $n; start_guard $n; done
wait_for 60 guards_usable 3 || fail "not every guard became usable"
touch "$RUN/journal" "$RUN/results"

load silent & loader=$!
sleep 0.4
command_proxy silence '*'
wait $loader
check "every connection goes silent for good, new ones work" silent
grep -q 'nothing arrived for too long' "$RUN"/guard-*.log || fail "no silent connection was abandoned"

command_proxy duplicate '*' both 20
load twice
command_proxy heal '*'
check "a fifth of the frames is sent twice" twice

command_proxy reorder '*' both 20
load order
command_proxy heal '*'
check "a fifth of the frames changes places with the next" order

command_proxy delay '*' both 50 50
load slow
command_proxy heal '*'
check "every byte is 50 to 100 ms late" slow

for direction in up down; do
  before=$(explained)
  load "cut-$direction" & loader=$!
  sleep 0.3
  command_proxy cut '*' $direction
  sleep 2
  command_proxy heal '*'
  wait $loader
  check_cut "all links cut $direction for 2 s" "cut-$direction" "$before"
done

# The cut time lies guard_lease and clock_error after a takeover.
sleep 4
load again
check "work after the cuts" again

# entry-1 dials entry-2; the guards' links to entry-2 are cut as well, so it is cut
# off from all and must not take the shard from entry-1 or be taken from.
before=$(serves)
owner=$(grep -h 'event=shard-serve' "$RUN"/entry-*.log | sort | tail -n 1 | grep -o 'node=entry-.' | grep -o '.$')
other=$((3 - owner))
command_proxy cut "e$other" both
sleep 3
command_proxy heal "e$other"
expect "an entry that is cut off does not take the shard" "$(serves)" "$before"
load after
check "work after the cut" after
