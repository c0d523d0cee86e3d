#!/usr/bin/env bash
# A guard is silent for longer than its entry waits for it, and comes back as the same process.
# Guards against a worker that is not used again until its guard or the entry is restarted.
cd "$(dirname "$0")/.."
. tests/cluster.sh

lost () { grep -q 'event=guard-lost upstream=guard-1' "$RUN/entry-1.log"; }
usable_again () { [ "$(grep -c 'event=guard-usable .*upstream=guard-1 ' "$RUN/entry-1.log")" -ge 2 ]; }
placed_again () { # after the return
  tail -n "+$before" "$RUN/entry-1.log" | grep -q 'event=place .*upstream=guard-1 '
}
load () {
  "$BIN/tests/loadgen" --servers "$CALLER_1" --token alentejo-secret --customer alentejo --threads 6 \
    --jobs 20 --tasks-max 12 --ms-min 5 --ms-max 30 --deadline 20000 --attempts 6 --uuid \
    --prefix "$1" --results "$RUN/results" > "$RUN/load.$1" 2>&1
}

start_log
start_entry 1
wait_for 20 grep -q event=started "$RUN/entry-1.log"
declare_pool 1
for n in 1 2; do start_upstream $n 1; start_guard $n; done
wait_for 60 guards_usable 2 || fail "not every guard became usable"

kill -STOP "$(pid_of guard-1)"
wait_for 60 lost || fail "the silent guard was not given up"
kill -CONT "$(pid_of guard-1)"
wait_for 60 usable_again || fail "guard-1 is not used after its return"
echo "ok: a guard that was given up is used again"
before=$(($(wc -l < "$RUN/entry-1.log") + 1))
load back
placed_again || fail "nothing was placed on guard-1 after its return"
[ "$(doubles)" = 0 ] || fail "$(doubles) tasks started twice"
grep -q 'done=120' "$RUN/load.back" || fail "$(cat "$RUN/load.back")"
echo "ok: work is placed on it, and starts once"
