#!/usr/bin/env bash
# Entries on a host with few descriptors. Guards against callers that are refused or left waiting, and an
# accept loop that spins, without a word in the log.
cd "$(dirname "$0")/.."
. tests/platform.sh
ENTRIES=2 CALLER_THREADS=160

once () { [ "$(grep -c "$2" "$RUN/$1.log")" = 1 ]; }

run () {
  plan_ports
  start_store
  wait_for 5 curl -s -m 1 -o /dev/null "http://$STORE/control" || fail "the store did not start"
  put_config 3 /calc/
  (ulimit -n 100; start_entry 1)
  (ulimit -S -n 100; start_entry 2)
  for n in $(seq "$GUARDS"); do start_worker "$n"; start_guard "$n"; done
  for n in $(seq "$ENTRIES"); do wait_for 20 workers_seen "$n" "$GUARDS" || fail "entry-$n does not see every worker"; done
  wait_for 5 once entry-1 'event=descriptors-short descriptors=100 caller_threads=160 possible=25' \
    || fail "a limit of 100 descriptors is not reported"
  wait_for 5 once entry-2 "event=host-limits descriptors=$(ulimit -H -n) descriptors_before=100" \
    || fail "the soft limit is not raised"
  seen entry-2 descriptors-short && fail "the raised limit is not used"

  # Far more connections than descriptors.
  "$BIN/tests/jobload" --servers "127.0.0.11:$CALLERS" --threads 300 --jobs 10 --tasks 1 --ms 20 \
    --cpu 100 --pause 200 --attempts 3 --seed 1 --results "$RUN/results" > "$RUN/load.out"
  echo "refused for want of a descriptor: $(cat "$RUN"/entry-*.log | grep -c 'cannot create an eventfd')"
  for n in $(seq "$ENTRIES"); do wait_for 10 serves "$n" || fail "entry-$n does not serve"; done
  stop_daemons
  echo "processes that ended by themselves: $(judge_ends | wc -w)"
}

run > "$RUN/out" || { cat "$RUN/out"; exit 1; }
[ -n "${UPDATE:-}" ] && cp "$RUN/out" tests/run-host-limits.expected
diff -u tests/run-host-limits.expected "$RUN/out" || { KEEP=1; exit 1; }
