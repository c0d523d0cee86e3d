#!/usr/bin/env bash
# Runs the libFuzzer targets that "make fuzz" has built, all or those named, for FUZZ_SECONDS each;
# AT_A_TIME of them at once. Inputs that reach new code are kept in build/fuzz/work/NAME, those that
# break a rule in build/fuzz/found; the latter belong into tests/fuzz/corpus/NAME. Prints a line for
# each target: inputs tried, edges covered, exit status (0: nothing found) and the first error.
set -u
cd "$(dirname "$0")/.."

if [ "${1:-}" = one ]; then # one NAME
  name=$2 found=build/fuzz/found work=build/fuzz/work
  mkdir -p "$work/$name" "$found"
  build/fuzz/fuzz/"$name" "$work/$name" "tests/fuzz/corpus/$name" \
    -max_total_time="${FUZZ_SECONDS:-60}" -seed="${SEED:-1}" -max_len=8192 -timeout=10 -rss_limit_mb=640 -print_final_stats=1 \
    -dict=build/fuzz/fuzz.dict -artifact_prefix="$found/$name-" > "$work/$name.log" 2>&1
  status=$?
  inputs=$(sed -n 's/^stat::number_of_executed_units: *//p' "$work/$name.log")
  edges=$(grep -o 'cov: [0-9]*' "$work/$name.log" | tail -n 1 | cut -d' ' -f2)
  first=$(grep -m 1 -E 'ERROR: |runtime error: |broken: ' "$work/$name.log")
  echo "target=$name inputs=${inputs:-0} edges=${edges:-0} exit=$status ${first:+first=\"$first\"}"
  exit 0
fi

[ $# -gt 0 ] || set -- $(find tests/fuzz/corpus -mindepth 1 -maxdepth 1 -printf '%f\n' | sort)
printf '%s\n' "$@" | xargs -P "${AT_A_TIME:-3}" -I NAME bash tests/fuzz.sh one NAME
