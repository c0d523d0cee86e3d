#!/usr/bin/env bash
# Large bodies of many callers at once. Guards against an entry that needs more memory than it may use:
# the values of a JSON text take up to eighty times as much as the text. The smallest entries may use
# 120 MB; the bound holds for the release build only, since the sanitizer's memory counts as well.
cd "$(dirname "$0")/.."
. tests/platform.sh
# As many threads as deploy/run-entry.yaml has.
eval "$(declare -f start_entry | sed 's/caller_threads: .*/caller_threads: 160/')"
ENTRIES=1 GUARDS=1
PEAK_MAX_KB=$((120 << 10))
CALLS=160
JOB='{"spec":"cpu=1000 ms=30","best_effort":true,"steps":[{"count":3,"cpu":1000,"mem_mb":64,"estimated_ms":30}]}'

# body HEAD ELEMENT TAIL BYTES: as many elements as fit.
body () {
  awk -v head="$1" -v element="$2" -v tail="$3" -v bytes="$4" 'BEGIN {
    n = int((bytes - length(head) - length(tail)) / (length(element) + 1))
    printf "%s%s", head, element
    for (i = 1; i < n; i++) printf ",%s", element
    printf "%s", tail }'
}
peak_kb () { awk '/^VmHWM/ { print $2 }' "/proc/$(pid_of "$1")/status"; }

# send NAME: sends the body to the entry CALLS times at once; prints the statuses.
send () {
  curl -s -Z --parallel-immediate --parallel-max "$CALLS" -m 60 -o /dev/null -w '%{http_code}\n' \
    -H 'Host: jobs.example' --data-binary @"$RUN/$1" \
    "http://127.0.0.11:$CALLERS/calc/0000000000000[100-$((99 + CALLS))]" 2> /dev/null | sort | uniq -c | xargs
}
check_peak () { # process what
  running "$1" || fail "$1 has ended after $2"
  [ "$(basename "$BIN")" != release ] || [ "$(peak_kb "$1")" -le "$PEAK_MAX_KB" ] \
    || fail "peak memory of $1 after $2: $(peak_kb "$1") kB"
}

# Bodies of 256 KB, the largest that are read.
SIZE=$(((256 << 10) - 16))
body '{"spec":"x","steps":[' '[]' ']}' $SIZE > "$RUN/arrays"
body '{"spec":"x","steps":[' '{}' ']}' $SIZE > "$RUN/objects"
body '{"spec":"x","steps":[' '{"a":{}}' ']}' $SIZE > "$RUN/members"
# The most values that a job may have, and a text that fills the rest.
{
  body '{"x":[' '{"a":{}}' '],"spec":"' $((2700 * 9)); head -c 230000 /dev/zero | tr '\0' x
  printf '","best_effort":true,"steps":[{"count":1,"cpu":9000000}]}'
} > "$RUN/largest"
body '{"state":"ready","labels":[' '{}' ']}' $(((64 << 10) - 16)) > "$RUN/report"

start_platform
for name in arrays objects members; do
  seen=$(send "$name")
  grep -qE "^([0-9]+ (400|503|504) ?)+$" <<< "$seen" || fail "$name: $seen"
  check_peak entry-1 "$name"
  echo "ok: $CALLS bodies of $name at once are refused"
done
# Those for which there is no memory are refused for the moment, or, if their first attempt may be
# running, without a word about that.
for round in 1 2; do
  seen=$(send largest)
  grep -qE '^([0-9]+ (429|503|504) ?)+$' <<< "$seen" || fail "largest: $seen"
  check_peak entry-1 "the largest bodies"
done
echo "ok: $CALLS of the largest bodies at once are answered"
for n in $(seq 40); do
  curl -s -m 20 -o /dev/null -w '%{http_code}\n' -X PUT --data-binary @"$RUN/report" "http://$REGISTER_1/v1/instances/i-1" &
done > "$RUN/statuses"
wait $(jobs -p)
[ "$(sort "$RUN/statuses" | uniq -c | xargs)" = "40 400" ] || fail "reports: $(sort "$RUN/statuses" | uniq -c | xargs)"
check_peak guard-1 "large reports"
echo "ok: large reports are refused"
# An entry that is behind after that rejects jobs for a moment.
completes () { answer=$(post 00000000000000b1 "$JOB"); [ "$answer" = '{"state":"completed"} 200' ]; }
wait_for 20 completes || fail "a job after that: $answer"
echo "ok: a job after that; peaks $(peak_kb entry-1) kB, $(peak_kb guard-1) kB"
