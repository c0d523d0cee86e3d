#!/usr/bin/env bash
# Texts of the platform's documents that are long, with real processes. Guards against a queue, a
# worker or a job that is left out, refused or taken for another one because of the length of a name.
cd "$(dirname "$0")/.."
. tests/platform.sh

JOB='{"best_effort":true,"spec":"ms=30 cpu=1000","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimated_ms":30}]}'
long () { printf "$1%.0s" $(seq "$2"); } # text times

# Twice as long as a host name can be in the DNS; the other texts have no bound.
LABEL=$(long h 61)
HOST=$LABEL.$LABEL.$LABEL.$LABEL.$LABEL.$LABEL.$LABEL.$LABEL
PREFIX=/$(long p 600)
NAME=$(long q 400)
SERVICE=$(long s 300)
KIND=$(long k 200)

route () { # host prefix name service
  printf '{"name":"%s","host":"%s","path_prefix":"%s","timeout_ms":1500,"target_latency_ms":60,"priority":1,"service":"%s","max_attempts":2,"slack_factor":4}' "$3" "$1" "$2" "$4"
}

put_routes () { # version route...
  local version=$1 IFS=,
  shift
  printf '{"version":%s,"routes":[%s],"services":[],"limits":{}}' "$version" "$*" | put_operator config
}

try () { # entry host path [job]: the status
  curl -s -m 5 -o /dev/null -w '%{http_code}' -H "Host: $2" -H 'Content-Type: application/json' \
    -d "${4:-$JOB}" "http://127.0.0.$((10 + $1)):$CALLERS$3"
}

pending () { # entry host prefix
  curl -s -m 5 -w ' %{http_code}' -H "Host: $2" "http://127.0.0.$((10 + $1)):$CALLERS$3"
}

ID_PREFIX=$(long i 100) # of all workers
# Worker 3 belongs to a pool with a long name, worker 4 has a long label.
GUARDS=4
OPTIONS_3="--service $SERVICE-a"
OPTIONS_4="--kind $KIND-a"

requiring () { echo "${JOB/\"cpu\":/\"requirements\":\"$1\",\"cpu\":}"; } # label: a job

# The worker that ran the job with this ID.
runner () { sed -n "s/^start $1.* $ID_PREFIX/i/p" "$RUN/journal"; }

run () {
  local n
  start_platform
  echo "$JOB" > "$RUN/job"
  put_routes 4 "$(route jobs.example /calc/ q calc)" "$(route "$HOST" /calc/ host calc)" \
    "$(route jobs.example "$PREFIX-a/" prefix-a calc)" "$(route jobs.example "$PREFIX-b/" prefix-b none)" \
    "$(route jobs.example /name-a/ "$NAME-a" calc)" "$(route jobs.example /name-b/ "$NAME-b" calc)" \
    "$(route "${HOST%h}i" /calc/ other none)" \
    "$(route jobs.example /service/ service "$SERVICE-a")" "$(route jobs.example /no-service/ no-service "$SERVICE-b")" \
    "$(route jobs.example /advised/ advised calc | sed 's/^{/{"advisor":{"decision_ms":5,"period_ms":1,"valid_ms":3000},/')"
  for n in $(seq "$ENTRIES"); do
    wait_for 5 seen "entry-$n" 'config-applied version=4' || fail "version 4 is not applied"
    echo "entry $n"
    echo "  a host of ${#HOST} bytes: $(try "$n" "$HOST" "/calc/00000000000000a$n")"
    echo "  a host that differs in its last byte, without workers: $(try "$n" "${HOST%h}i" "/calc/00000000000001a$n")"
    echo "  in capitals and with a port: $(try "$n" "${HOST^^}:80" "/calc/00000000000002a$n")"
    echo "  a prefix of $((${#PREFIX} + 3)) bytes: $(try "$n" jobs.example "$PREFIX-a/00000000000000b$n")"
    echo "  one that differs at its end, without workers: $(try "$n" jobs.example "$PREFIX-b/00000000000000c$n")"
    echo "  a name of $((${#NAME} + 2)) bytes: $(try "$n" jobs.example "/name-a/00000000000000d$n")"
    echo "  one that differs at its end: $(try "$n" jobs.example "/name-b/00000000000000e$n") $(pending "$n" jobs.example /name-b/)"
    echo "  a service of $((${#SERVICE} + 2)) bytes: $(try "$n" jobs.example "/service/00000000000000f$n") on $(runner "00000000000000f$n")"
    echo "  one that differs at its end, without workers: $(try "$n" jobs.example "/no-service/00000000000001f$n")"
    echo "  a label of $((${#KIND} + 2)) bytes: $(try "$n" jobs.example "/calc/00000000000002f$n" "$(requiring "$KIND-a")") on $(runner "00000000000002f$n")"
    echo "  one that differs at its end: $(try "$n" jobs.example "/calc/00000000000003f$n" "$(requiring "$KIND-b")")"
    echo "  a checkpoint of $((25 + 300)) bytes: $(try "$n" jobs.example "/calc/00000000000004f$n" "${JOB/cpu=1000/cpu=1000 saves}")"
    echo "  its runs: $(sed -n "s/^end 00000000000004f$n[^ ]* \([0-9]*\) \([a-z]*\).*/\1 \2/p" "$RUN/journal" | xargs)"
    advisor_allows "$ID_PREFIX-2"
    echo "  a permit of more than 300 bytes: $(try "$n" jobs.example "/advised/00000000000005f$n" "${JOB/cpu=1000/cpu=1000 advised}") on $(runner "00000000000005f$n")"
    echo "  where a job at a prefix of $((${#PREFIX} + 3)) bytes would go: $("$BIN/mulberrydrift" where --server "127.0.0.$((10 + n)):$METRICS" --host jobs.example --path "$PREFIX-a/" "$RUN/job" 2>&1 | sed -n "s/^queue \([^ ]*\) .*, pool/\1,/p")"
    echo "  series of the queue with a long name: $(curl -s -m 5 "http://127.0.0.$((10 + n)):$METRICS/metrics" | grep -c "queue=\"$NAME-a\"")"
    echo "  routes that it ignores: $(curl -s -m 5 "http://127.0.0.$((10 + n)):$METRICS/metrics" | sed -n 's/^mulberrydrift_config_routes_ignored //p')"
  done
  printf '{"version":5,"routes":[%s,{"name":"none","path_prefix":"/none/"}]}' "$(route "$HOST" "$PREFIX/" "$NAME" "$SERVICE")" \
    > "$RUN/routes"
  "$BIN/mulberrydrift" check-routes "$RUN/routes" 2> "$RUN/ignored"
  echo "exit $?: $(sed 's/.*event=//' "$RUN/ignored")"
}

run > "$RUN/out"
[ -n "${UPDATE:-}" ] && cp "$RUN/out" tests/run-long-names.expected
diff -u tests/run-long-names.expected "$RUN/out" || { KEEP=1; exit 1; }
