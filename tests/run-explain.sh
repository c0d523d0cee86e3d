#!/usr/bin/env bash
# From an id to the cause: rejected requests, a late and a lost one, by job and by request,
# from one log and from two; all jobs of a queue that were not in time. Guards against a
# wrong cause, a job whose caller had waited that is told as a backlog or a slow run, lines of
# uninvolved processes and gaps that are not told.
cd "$(dirname "$0")/explain" || exit 1
bin=../../${MD_BIN:-build/release}/mulberrydrift
run () {
  for id in aa01 q2 aa03 q5 aa06 aa07; do "$bin" explain "$id" day.log; echo; done
  grep edge day.log > "$dir/entries"
  grep side day.log > "$dir/guards"
  "$bin" explain aa02 "$dir/guards" "$dir/entries" | tail -n 2
  for q in $(grep 'event=job-answered' day.log | grep -o 'queue=[a-z0-9-]*' | cut -d= -f2 | sort -u); do
    "$bin" explain --queue "$q" < day.log
  done
  "$bin" explain --queue none day.log 2>&1
  "$bin" explain nobody < day.log 2>&1
  echo "exit $?"
}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
run > "$dir/out"
if [ -n "${UPDATE:-}" ]; then cp "$dir/out" expected; exit; fi
diff -u expected "$dir/out"
