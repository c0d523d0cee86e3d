#!/usr/bin/env bash
# An entry stands still while the channel of a client is reset and another channel comes from the same
# port. The client sends its job again, to the other entry; the first one wakes and starts it as well.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lab-2.sh"
ID=c30000000000000$((RANDOM % 10))
FREEZE_MS=3500 RESET_MS=300 RESEND_MS=1300
IDLE_MS=${IDLE_MS:-5000}
# For trials: with TROUBLE=freeze or TROUBLE=reset only one of the two happens.
freezes=0 resets=0
case $TROUBLE in 1) freezes=1 resets=1 ;; freeze) freezes=1 ;; reset) resets=1 ;; esac
start_deployment 2 2

# Sixty tasks of 6 s each, as steps with a long image each, so that the request takes some time to read.
image=$(printf 'x%.0s' $(seq 600))
step="{\"count\":1,\"cpu\":100,\"mem_mb\":16,\"estimated_ms\":6000,\"image\":\"$image\"}"
printf '{"spec":"ms=6000 cpu=100","best_effort":true,"steps":[%s' "$step" > "$RUN/job"
for n in $(seq 59); do printf ',%s' "$step"; done >> "$RUN/job"
echo ']}' >> "$RUN/job"
SOURCE=$NET.9:$("$TOOLS/call" ports 1 "$NET.9")
if [ "$freezes" = 1 ]; then
  record "edge-1 stands still for $FREEZE_MS ms"
  kill -STOP "${PIDS[edge-1]}"
  { sleep "${FREEZE_MS%???}.${FREEZE_MS: -3}"; kill -CONT "${PIDS[edge-1]}"; record "edge-1 goes on"; } &
fi
[ "$resets" = 1 ] && reset_ms=$RESET_MS || reset_ms=0
"$TOOLS/channels" "$(entry_ip 1):$FRONT" "$SOURCE" "/calc/$ID" "$RUN/job" "$reset_ms" "$IDLE_MS" > "$RUN/channels" &
CLIENT=$!
PIDS[client]=$CLIENT
if [ "$resets" = 1 ]; then
  is_reset () { grep -q 'is reset' "$RUN/channels"; }
  wait_for 5 is_reset || cannot_run "the channel was not reset"
  left=$(($(awk '/is reset/ { print $1 }' "$RUN/channels") + RESEND_MS - $(now)))
  sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
  record "the client sends job $ID again, $RESEND_MS ms after its channel broke, to edge-2"
  answer=$(http "$(entry_ip 2):$FRONT" POST "/calc/$ID" 20000 "$RUN/job")
  record "edge-2 answers $answer"
fi
wait "$CLIENT" || cannot_run "the channels could not be opened"
unset "PIDS[client]"
cat "$RUN/channels" >> "$CASE/record.txt"
none_at_work () { [ "$(running_tasks)" -eq 0 ]; }
wait_for 10 none_at_work || cannot_run "$(running_tasks) tasks are still at work"
cat "$RUN/journal" >> "$CASE/record.txt"
doubled_runs > "$RUN/doubled"
if [ -s "$RUN/doubled" ]; then
  record "TWICE is broken for $(wc -l < "$RUN/doubled") runs:"
  cat "$RUN/doubled" >> "$CASE/record.txt"
  echo "TWICE: $(wc -l < "$RUN/doubled") runs started beside another run of their task; the first: $(head -1 "$RUN/doubled")"
  exit 1
fi
[ "$(grep -c '^end .* done ' "$RUN/journal")" -ge 60 ] || cannot_run "the job did not complete"
echo "held: no two runs of a task at the same time"
