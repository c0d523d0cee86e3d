#!/usr/bin/env bash
# The silences of run-silence.sh at the product's own entry and guard: 0.3, 0.6, 1.2 and 5 s of a
# guard that is paused, of the links between guards and the owner of the shard cut in one
# direction, and of an upstream whose answers stay away, with tasks that end before, during and
# after them. Guards against a task that starts twice, against a job that is given up although its
# tasks ended well, and against "not run" for a job that may have run when its deadline comes
# during a silence. The upstreams' journal is the judge.
cd "$(dirname "$0")/.."

# job DEADLINE_MS MS...: a task for each run time.
job () {
  local ms comma=
  printf '{"pool":"relogio-calc","deadline_ms":%d,"tasks":[' "$1"
  shift
  for ms in "$@"; do
    printf '%s{"path":"/compute?ms=%d","declared_ms":%d}' "$comma" "$ms" "$ms"
    comma=,
  done
  printf ']}'
}
# send NAME BODY: the answer goes to the file of that name.
send () {
  curl -s -m 60 -w ' %{http_code}\n' -H 'Authorization: Bearer alentejo-secret' \
    -H "Idempotency-Key: $ROUND-$1" -d "$2" "http://$CALLER_1/v1/jobs" > "$RUN/answer-$1" &
  WAITING="$WAITING $!"
}
answer () { # name: status and outcome, or the number of answers with status 200
  tr -d '\n' < "$RUN/answer-$1" | awk '{ n = gsub (/"status":200/, ""); sub (/.*"outcome":"/, "")
    sub (/".*} /, " "); print (n > 0 ? n " answers" : $0) }'
}
keys () { awk '{ print $1 }' "$RUN/journal" | sort -u; }
starts () { [ "$(wc -l < "$RUN/journal")" -ge "$1" ]; }
proxy () {
  local reply
  exec 9<> "/dev/tcp/${CONTROL%:*}/${CONTROL#*:}"
  echo "$*" >&9
  read -r reply <&9
  exec 9>&-
  case $reply in ok*) ;; *) fail "proxy: $*: $reply" ;; esac
}
route () { sed -n "s/^route $1 listening //p" "$RUN/proxy.out"; }
owner () { grep -h 'event=shard-serve' "$RUN"/entry-*.log | sort | tail -n 1 | grep -o 'node=entry-.' | grep -o '.$'; }

begin () { # cause
  OWNER=$(owner)
  case $1 in
    paused) kill -STOP "$(pid_of guard-1)" ;;
    up | down) proxy cut "e$OWNER" "$1" ;;
    no-answers) proxy cut u1 down ;;
  esac
}
end () { # cause
  case $1 in
    paused) kill -CONT "$(pid_of guard-1)" ;;
    up | down) proxy heal "e$OWNER" ;;
    no-answers) proxy heal u1 ;;
  esac
}
# A job that needs all slots is answered: each guard is in use again.
all_serve () {
  AGAIN=$((${AGAIN:-0} + 1))
  ROUND="again-$AGAIN" send again "$(job 60000 $(for i in $(seq 24); do echo 20; done))"
  wait "$!"
  [ "$(answer again)" = "24 answers" ]
}

silence () { # cause milliseconds
  local before n brief_key said=true name
  ROUND="$1-$2" WAITING=
  wait_for 5 all_serve || fail "$1 $2: the guards do not serve: $(answer again)"
  before=$(wc -l < "$RUN/journal")
  keys > "$RUN/keys"
  send main "$(job 60000 $(for i in $(seq 8); do echo 30 $((400 + $2 / 2)) $((900 + $2)); done))"
  wait_for 20 starts $((before + 24)) || fail "$1 $2: not every task starts"
  keys > "$RUN/keys-main"
  # The short ones have ended when there is room for these.
  send brief "$(job 700 300 300)"
  wait_for 20 starts $((before + 25)) || fail "$1 $2: the job with a short deadline does not start"
  brief_key=$(keys | comm -13 "$RUN/keys-main" -)
  begin "$1"
  send late "$(job 500 300 300)"
  sleep "$(printf '%d.%03d' $(($2 / 1000)) $(($2 % 1000)))"
  end "$1"
  wait $WAITING
  sleep 0.5 # a start that is carried out late
  for name in brief late; do
    case $name in
      brief) n=$(grep -c "^$brief_key " "$RUN/journal") ;;
      late) n=$(keys | comm -13 "$RUN/keys-main" - | grep -v "^$brief_key$" | wc -l) ;;
    esac
    case $(answer $name) in
      not_run*) [ "$n" = 0 ] || said="false: $name, $(answer $name), $n starts" ;;
    esac
  done
  echo "$1 $2 ms: $(answer main), not run is $said, started twice $(doubles)"
  [ -z "${VERBOSE:-}" ] || echo "$1 $2 brief: $(answer brief) late: $(answer late)" >&2
}

run () { # cause...
  local cause ms n
  . tests/cluster.sh
  KEEP_RUN=${KEEP:-}
  start_log
  reserve_entry 1
  reserve_entry 2
  for n in 1 2 3; do start_upstream $n 1; done
  start proxy "$BIN/tests/faultproxy" "e1=$INTERNAL_1" "e2=$INTERNAL_2" "u1=$UPSTREAM_1"
  proxy_ready () { grep -q '^control listening' "$RUN/proxy.out"; }
  wait_for 20 proxy_ready || fail "the proxy did not start"
  CONTROL=$(sed -n 's/^control listening //p' "$RUN/proxy.out")
  ADVERTISED_1=$(route e1) ADVERTISED_2=$(route e2) UPSTREAM_1=$(route u1)
  start_entry 1
  start_entry 2
  declare_pool 1
  touch "$RUN/journal"
  for n in 1 2 3; do start_guard $n; done
  wait_for 60 guards_usable 3 || fail "not every guard became usable"
  for cause in "$@"; do
    for ms in 300 600 1200 5000; do silence "$cause" "$ms"; done
  done
}

OUT=$(mktemp -d)
(run paused) > "$OUT/1" &
(run up down) > "$OUT/2" &
(run no-answers) > "$OUT/3" &
wait
cat "$OUT"/? > "$OUT/all"
[ -z "${UPDATE:-}" ] || cp "$OUT/all" tests/run-silence-product.expected
diff -u tests/run-silence-product.expected "$OUT/all"
status=$?
rm -rf "$OUT"
exit $status
