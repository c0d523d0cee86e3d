#!/usr/bin/env bash
# Bodies that nest deeply, at each HTTP address of run-entry, run-guard, entry and guard. Guards
# against an end of the process: the parser recurses, and the stack of an HTTP thread is 100 KB.
cd "$(dirname "$0")/.."

# write_bodies DIRECTORY: arrays and objects, closed and not, alone and inside of a message. At 900
# levels the stack was exceeded, 2,048 is the limit of the parser.
write_bodies () {
  local levels head opened n=0
  for levels in 900 2000 100000; do
    for head in '' '{"state":"ready","steps":[],"spec":' '{"pool":"calc","tasks":[{"path":"/","body":'; do
      for opened in '[' '{"a":'; do
        n=$((n + 1))
        awk -v head="$head" -v opened="$opened" -v levels="$levels" -v closed="$([ "$opened" = '[' ] && echo ']' || echo '1}')" \
          'BEGIN { printf "%s", head
                   for (i = 0; i < levels; i++) printf "%s", opened
                   for (i = 0; i < levels; i++) printf "%s", (i > 0 && opened != "[") ? "}" : closed }' > "$1/closed-$n"
        awk -v head="$head" -v opened="$opened" -v levels="$levels" \
          'BEGIN { printf "%s", head; for (i = 0; i < levels; i++) printf "%s", opened }' > "$1/open-$n"
      done
    done
  done
}

# statuses METHOD URL [HEADER...]: sends each body; prints the statuses that were seen.
statuses () {
  local method=$1 url=$2 body
  shift 2
  for body in "$RUN"/bodies/*; do
    curl -s -m 20 -o /dev/null -w '%{http_code}\n' -X "$method" -H 'Host: jobs.example' "$@" \
      --data-binary @"$body" "$url"
  done | sort | uniq -c | xargs
}

# expect_refused NAME PATTERN METHOD URL [HEADER...]: every status matches; the process NAME still
# runs. No answer has status 000.
expect_refused () {
  local name=$1 pattern=$2 seen
  shift 2
  seen=$(statuses "$@")
  alive "$name" || fail "$name has ended after $1 $2: $seen"
  grep -qE "^([0-9]+ ($pattern) ?)+$" <<< "$seen" || fail "$1 $2 at $name: $seen"
  echo "$name goes on after $1 /${2#*//*/}"
}

platform () (
  . tests/platform.sh
  alive () { running "$1"; }
  ENTRIES=1 GUARDS=1
  start_platform
  mkdir "$RUN/bodies"
  write_bodies "$RUN/bodies"
  local job='{"spec":"cpu=1000 ms=30","best_effort":true,"steps":[{"count":3,"cpu":1000,"mem_mb":64,"estimated_ms":30}]}'
  local callers=http://127.0.0.11:$CALLERS probes=http://127.0.0.11:$READY
  local method
  expect_refused entry-1 '400|413' POST "$callers/calc/00000000000000a1"
  for method in GET PUT DELETE; do
    expect_refused entry-1 '200|404|405|410' "$method" "$callers/calc/00000000000000a1"
  done
  expect_refused entry-1 '404|413' POST "$callers/unknown/00000000000000a1"
  expect_refused entry-1 '200' POST "$probes/v1/readyz"
  expect_refused entry-1 '200' POST "$probes/metrics"
  expect_refused guard-1 '400|413' PUT "http://$REGISTER_1/v1/instances/i-1"
  expect_refused guard-1 '405' POST "http://$REGISTER_1/v1/instances/i-1"
  expect_refused guard-1 '200' DELETE "http://$REGISTER_1/v1/instances/i-none"
  expect_refused guard-1 '200' POST "http://$REGISTER_1/metrics"
  echo "a job after that: $(post 00000000000000b1 "$job")"
)

own_interface () (
  . tests/cluster.sh
  alive () { kill -0 "$(pid_of "$1" | tr - _)" 2> /dev/null; }
  pid_of () { eval "echo \$PID_$(echo "$1" | tr - _)"; }
  start_log
  start_entry 1
  declare_pool 1
  start_upstream 1 1
  start_guard 1
  wait_for 30 guards_usable 1 || fail "the guard did not become usable"
  mkdir "$RUN/bodies"
  write_bodies "$RUN/bodies"
  local customer='Authorization: Bearer alentejo-secret' operator='Authorization: Bearer operator-secret'
  expect_refused entry-1 '400' POST "http://$CALLER_1/v1/jobs" -H "$customer"
  # A single request's body is passed through, whatever it holds; the guard carries it.
  rm "$RUN"/bodies/*-1[3-8]
  local seen=$(statuses POST "http://$CALLER_1/v1/pools/relogio-calc/requests/compute?ms=1" \
    -H "$customer" -H 'Content-Type: text/plain')
  alive entry-1 && alive guard-1 || fail "a process has ended after single requests: $seen"
  expect_refused entry-1 '400|413' PUT "http://$OPERATOR_1/v1/resources/configuration/deep" -H "$operator" -H 'If-None-Match: *'
  expect_refused entry-1 '400|413' POST "http://$OPERATOR_1/v1/resources/configuration" -H "$operator"
  job_body 3 1 > "$RUN/job.json"
  submit 1 alentejo-secret --id after "$RUN/job.json" > "$RUN/answer" || fail "a job after that"
  echo "a job after that: $(grep -o '"status":200' "$RUN/answer" | wc -l) of 3 tasks"
)

platform || exit 1
own_interface || exit 1
