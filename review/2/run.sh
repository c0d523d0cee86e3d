#!/usr/bin/env bash
# Case 2: a liveness report of another writer makes a guard report all runs of its sound worker as
# ended; their tasks start again elsewhere while they still run. TROUBLE=0: no such report comes.
. "$(dirname "$0")/../lab.sh"
ROUNDS=3
HEARTBEAT_S=1.5 # heartbeat_ms: the next report of the worker itself comes within this time

start_lab 1 4 4000
JOB='{"best_effort":true,"spec":"ms=900 cpu=1000","steps":[{"count":3,"cpu":1000,"mem_mb":64,"estimated_ms":900}]}'
# A service that no configuration names, and fields that are missing.
STRAY='{"service":"elsewhere","address":"127.0.0.99:8080","version":"v1","slots":8,"state":"ready","capacity":{"cpu":16000,"mem_mb":32768,"gpu":0}}'

for round in $(seq $ROUNDS); do
  id=00000000000000a$round
  in_background "$TOOLS/client" post "$RECORD" "$(entry_ip 1):$FRONT" $id 1500 "$JOB"
  wait_for 5 grep -q " start $id" "$RECORD" || unable "the job does not start"
  sleep 0.3
  # The VM on whose worker most of the job runs.
  n=$(grep -o "i-[0-9]* start $id" "$RECORD" | sort | uniq -c | sort -rn \
    | sed -n '1s/.* i-\([0-9]*\) .*/\1/p')
  [ "$TROUBLE" = 0 ] \
    || "$TOOLS/client" call "$RECORD" PUT "$(side_ip "$n"):$CONTROL" /v1/instances/i-0badc0de "$STRAY" > /dev/null
  wait_background
  sleep $HEARTBEAT_S
  sleep 0.5
done

"$CASE/../judge.sh" twice "$RECORD"
