#!/usr/bin/env bash
# A recorded day and a made one, played with each policy. The recording is written here:
# three workers with speeds 1, 2 and 0.5, of which the second is four times slower from
# second 4 on and the third is away from second 6 to 8; two entries; tasks that need
# 100 ms although 80 ms are declared. Guards against a model that misses a worker that
# is slow or away, that changes from run to run or depends on the order of the logs.
cd "$(dirname "$0")/simulate" || exit 1
bin=../../${MD_BIN:-build/release}/mulberrydrift
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
LC_ALL=C awk '
function stamp(ms) { return sprintf("time=2026-01-02T03:04:%02d.%03dZ level=info", 5 + int(ms / 1000), ms % 1000) }
BEGIN {
  for (w = 1; w <= 3; w++)
    print stamp(0) " node=side-" w " event=worker-state worker=w" w " state=1 sequence=1 cpu=4000 memory_mb=4096"
  for (j = 0; j < 500; j++) {
    at = 20 * j; w = j % 3 + 1
    if (w == 3 && at >= 5800 && at < 8000) w = 1
    speed = w == 1 ? 1 : w == 2 ? (at >= 4000 ? 0.5 : 2) : 0.5
    run = int(100 / speed)
    print stamp(at) " node=edge-" j % 2 + 1 " event=job-admitted job=j" j " request=r" j " queue=q goal_ms=220 patience_ms=1500 steps=1 tasks=1 cpu=1000 memory_mb=64 declared_ms=80 slack_percent=160 target_ms=60"
    print stamp(at + run) " node=side-" w " event=run-end task=j" j ".0.0.0 run=1 how=done run_ms=" run " entry=edge-1"
    print stamp(at + run + 1) " node=edge-" j % 2 + 1 " event=job-answered job=j" j " status=200 outcome=completed"
  }
  print stamp(6000) " node=side-3 event=worker-left worker=w3"
  print stamp(8000) " node=side-3 event=worker-state worker=w3 state=1 sequence=1 cpu=4000 memory_mb=4096"
  print stamp(8000) " node=side-3 event=log-dropped lines=7"
}' > "$dir/day.log"
grep node=edge "$dir/day.log" > "$dir/entries"
grep node=side "$dir/day.log" > "$dir/guards"
run () {
  "$bin" simulate "$dir/day.log"
  "$bin" simulate "$dir/guards" "$dir/entries" | cmp - <("$bin" simulate - < "$dir/day.log") && echo "same from parts"
  "$bin" simulate --seed 7 --burst 1.9 --slow 6.5 --svg "$dir/plot.svg"
  grep -c polyline "$dir/plot.svg"
  "$bin" simulate /dev/null 2>&1
  echo "exit $?"
}
run > "$dir/out"
if [ -n "${UPDATE:-}" ]; then cp "$dir/out" expected; exit; fi
diff -u expected "$dir/out"
