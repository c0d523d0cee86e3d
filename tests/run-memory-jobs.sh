#!/usr/bin/env bash
# Large jobs of several callers at once, on the own interface. Guards against an entry that needs more
# memory than the 256 MB that it may use: a body of 4 MB takes 80 MB when it is parsed. The bound holds for the
# release build only, since the sanitizer's memory counts as well.
cd "$(dirname "$0")/.."
. tests/cluster.sh
PEAK_MAX_KB=$((256 << 10))
CALLS=12

# job ELEMENT N: a job of one task, whose body has the element N times.
job () {
  awk -v element="$1" -v n="$2" 'BEGIN {
    printf "{\"pool\":\"relogio-calc\",\"tasks\":[{\"path\":\"/compute?ms=1\",\"cores\":1000000,\"body\":[%s", element
    for (i = 1; i < n; i++) printf ",%s", element
    printf "]}]}" }'
}
peak_kb () { awk '/^VmHWM/ { print $2 }' "/proc/$(pid_of entry-1)/status"; }
send () { # file: sends it CALLS times at once; prints the statuses
  curl -s -Z --parallel-immediate --parallel-max "$CALLS" -m 60 -o /dev/null -w '%{http_code}\n' \
    -H 'Authorization: Bearer alentejo-secret' -H 'Expect:' --data-binary @"$1" \
    "http://$CALLER_1/v1/jobs?n=[1-$CALLS]" 2> /dev/null | sort | uniq -c | xargs
}

start_log
start_entry 1
declare_pool 1
start_upstream 1 1
start_guard 1
wait_for 30 guards_usable 1 || fail "the guard did not become usable"
job '{"a":{}}' 87000 > "$RUN/large" # 261,000 values, of 262,144
job '[],[]' 400000 > "$RUN/beyond"
for name in beyond large; do
  seen=$(send "$RUN/$name")
  grep -qE '^([0-9]+ (400|422|429|502|503|504) ?)+$' <<< "$seen" || fail "$name: $seen"
  kill -0 "$(pid_of entry-1)" || fail "the entry has ended after $name"
  [ "$(basename "$BIN")" != release ] || [ "$(peak_kb)" -le "$PEAK_MAX_KB" ] \
    || fail "peak memory after $name: $(peak_kb) kB, statuses $seen"
  echo "ok: $CALLS bodies at once, $name"
done
job_body 890 1 > "$RUN/job.json"
submit 1 alentejo-secret --id after "$RUN/job.json" > "$RUN/answer" || fail "a job after that"
[ "$(grep -o '"status":200' "$RUN/answer" | wc -l)" = 890 ] || fail "a job after that: $(head -c 200 "$RUN/answer")"
echo "ok: a job of 890 tasks after that; peak $(peak_kb) kB"
