#!/usr/bin/env bash
# Processor time that an entry takes for a job that it serves and for one that it hands over, less
# that of the same time without jobs. Prints a line for each: microseconds per job at entry-1 and at
# entry-2. WORKERS, THREADS, JOBS (of each) and TASKS (a job) can be set. A bench, not a test.
cd "$(dirname "$0")/.."
. tests/platform.sh
ENTRIES=2
GUARDS=${WORKERS:-2}
THREADS=${THREADS:-8} JOBS=${JOBS:-400} TASKS=${TASKS:-8}

# Entry-1 always exceeds a share of 0.001 cores.
SHARE_1=0.001 SHARE_2=16
offers () { [ "$(curl -s -m 2 "http://127.0.0.11:$METRICS/metrics" | sed -n 's/^mulberrydrift_handover_offer_permille //p')" = 1000 ]; }
# Nanoseconds of all threads; finer than the ticks of /proc/PID/stat.
used () { # name
  cat /proc/"$(pid_of "$1")"/task/*/schedstat | awk '{ n += $1 } END { printf "%d\n", n / 1000 }'
}
now () { date +%s%N; }

measure () { # label
  local a1 a2 b1 b2 c1 c2 t0 t1 t2
  sleep 2
  t0=$(now) a1=$(used entry-1) a2=$(used entry-2)
  sleep 5
  t1=$(now) b1=$(used entry-1) b2=$(used entry-2)
  "$BIN/tests/jobload" --servers "127.0.0.11:$CALLERS" --threads $THREADS --jobs "$JOBS" --tasks "$TASKS" \
    --ms 10 --cpu 100 --leave 0 --results "$RUN/results-$1" > "$RUN/load-$1" 2>&1
  t2=$(now) c1=$(used entry-1) c2=$(used entry-2)
  echo "$1 $(cut -d' ' -f2 "$RUN/results-$1" | sort | uniq -c | xargs) $(awk -v a1="$a1" -v a2="$a2" -v b1="$b1" -v b2="$b2" -v c1="$c1" -v c2="$c2" \
    -v t0="$t0" -v t1="$t1" -v t2="$t2" -v jobs="$((THREADS * JOBS))" 'BEGIN {
      idle = (t2 - t1) / (t1 - t0)
      printf "seconds=%.1f entry_1_us=%.0f entry_2_us=%.0f idle_1_us_per_s=%.0f", (t2 - t1) / 1e9, (c1 - b1 - (b1 - a1) * idle) / jobs, (c2 - b2 - (b2 - a2) * idle) / jobs, (b1 - a1) * 1e9 / (t1 - t0) }')"
}

start_platform
wait_for 20 offers || fail "entry-1 does not offer its requests"
measure handed-over
for n in 1 2; do send_signal TERM entry-$n; done
for n in 1 2; do wait_for 20 eval "! running entry-$n" || fail "entry-$n does not end"; done
SETTINGS_TAIL="handover: off"
for n in 1 2; do start_entry $n; done
for n in 1 2; do wait_for 20 ready $n || fail "entry-$n is not ready"; done
measure served
