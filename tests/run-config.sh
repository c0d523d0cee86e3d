#!/usr/bin/env bash
# Configuration through the log: three nodes (tests/store-node) and the stand-in
# log (tests/logd) under outage, slowness, lost answers, duplicate appends, an
# older end and expired records. Each step names the failure it guards against.
# Waits poll for a state; the deadline only ends a run that hangs.
set -u
bin=$(cd "${MD_BIN:-build/release}" && pwd)
dir=$(mktemp -d)
pids=()
export MULBERRYDRIFT_TOKEN=ann-secret

# Only what still runs: an id may have been given to another program's thread since.
cleanup () {
  for p in $(jobs -pr); do
    case " ${pids[*]} " in *" $p "*) kill -CONT "$p" 2>/dev/null; kill "$p" 2>/dev/null ;; esac
  done
  wait 2>/dev/null
  rm -rf "$dir"
}
trap cleanup EXIT

fail () {
  echo "FAIL: $*"
  tail -n 15 "$dir"/*.err
  exit 1
}

until_true () { # description, command...
  local what=$1 i
  shift
  for ((i = 0; i < 600; i++)); do "$@" && return 0; sleep 0.1; done
  fail "never: $what"
}

# ---- processes ---------------------------------------------------------

start_log () {
  "$bin/tests/logd" > "$dir/log.out" 2> "$dir/log.err" &
  pids+=($!)
  until_true "log listens" grep -q listening "$dir/log.out"
  log=$(sed -n 's/^listening .*://p' "$dir/log.out")
}

ready () { [ "$(http "${port[$1]}" ann-secret GET /v1/resources/pool '' '' | status_of)" = 200 ]; }

declare -A port pid
start_node () { # name
  cat > "$dir/$1.yaml" <<YAML
role: entry
name: $1
region: r
failure_domain: r-a
log_address: 127.0.0.1:$log
internal_address: 127.0.0.1:1
caller_address: 127.0.0.1:2
operator_address: 127.0.0.1:0
operator_threads: 8
tokens:
- {operator: ann, token: ann-secret}
- {operator: bob, token: bob-secret}
- {customer: cust1, token: cust-secret}
tuning:
  snapshot_records: 40
  watch_changes: 2000
YAML
  [ -p "$dir/$1.in" ] || mkfifo "$dir/$1.in"
  "$bin/tests/store-node" "$dir/$1.yaml" <> "$dir/$1.in" > "$dir/$1.out" 2> "$dir/$1.err" &
  pid[$1]=$!
  pids+=($!)
  until_true "$1 listens" grep -q operator-listening "$dir/$1.err"
  port[$1]=$(sed -n 's/.*event=operator-listening.*port=\([0-9]*\).*/\1/p' "$dir/$1.err")
  until_true "$1 is ready" ready "$1"
}

# ---- requests ----------------------------------------------------------

http () { # port token method path headers body: the whole answer
  local fd
  exec {fd}<>"/dev/tcp/127.0.0.1/$1" || return 1
  printf '%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer %s\r\n%b' \
    "$3" "$4" "$2" "$5" >&"$fd"
  printf 'Content-Length: %d\r\n\r\n%s' "${#6}" "$6" >&"$fd"
  cat <&"$fd" 2>/dev/null
  exec {fd}>&-
}

control () { http "$log" - POST "/control?$1" '' '' > /dev/null; }

counter () { # stream name
  http "$log" - GET /control '' '' | tail -n 1 | sed "s/.*\"$1\":{[^}]*\"$2\":\([0-9]*\).*/\1/"
}

status_of () { head -n 1 | cut -d' ' -f2; }

expect () { # status, then the arguments of http
  local want=$1 got
  shift
  got=$(http "$@" | status_of)
  [ "$got" = "$want" ] || fail "expected $want, got '$got': $3 $4"
}

state () { # node: declared resources as the node lists them, without the list version
  local kind
  for kind in pool customer configuration; do
    http "${port[$1]}" ann-secret GET "/v1/resources/$kind" '' '' | tail -n 1 \
      | sed 's/^{"kind":"[a-z]*","version":[0-9]*//'
  done
}

same_state () { # nodes...
  local first other
  first=$(state "$1")
  shift
  for other in "$@"; do [ "$(state "$other")" = "$first" ] || return 1; done
}

# Runs in the background itself, so that $! is the process and not a shell.
watch_from () { # node version file
  "$bin/mulberrydrift" watch --server "127.0.0.1:${port[$1]}" configuration --since "$2" \
    --output json > "$3" 2>&1 &
  watch=$!
  pids+=("$watch")
}

cli () { # node command...
  local node=$1 command=$2
  shift 2
  "$bin/mulberrydrift" "$command" --server "127.0.0.1:${port[$node]}" "$@"
}

write_doc () { # kind name spec [version]
  printf 'kind: %s\nname: %s\nspec: %s\n' "$1" "$2" "$3" > "$dir/doc.yaml"
  [ $# -lt 4 ] || printf 'version: %s\n' "$4" >> "$dir/doc.yaml"
}

apply () { # node kind name spec [version]
  local node=$1
  shift
  write_doc "$@"
  cli "$node" apply "$dir/doc.yaml" >> "$dir/cli.out" 2>> "$dir/cli.err"
}

# ---- steps -------------------------------------------------------------

start_log
for n in n1 n2 n3; do start_node "$n"; done

# A change that is in force at one node only.
apply n1 pool relogio-calc '{shards: 2, coalesce_us: 100}' || fail "apply"
apply n2 customer cust1 '{weight: 2.5}' || fail "apply"
until_true "same state at all nodes" same_state n1 n2 n3
state n3 | grep -q '"weight":2.5' || fail "state is empty"
echo "ok  changes reach every node"

# Requests that must not reach the log, or that tell less than they should.
p=${port[n1]}
pools=/v1/resources/pool
before=$(counter config appends)
expect 401 "$p" wrong GET $pools '' ''
expect 403 "$p" cust-secret GET $pools '' ''
expect 403 "$p" cust-secret DELETE /v1/resources/job/j 'If-Match: "1"\r\n' ''
expect 405 "$p" ann-secret DELETE /v1/resources/job/j 'If-Match: "1"\r\n' ''
expect 404 "$p" ann-secret GET /v1/resources/teapot '' ''
expect 404 "$p" ann-secret GET $pools/none '' ''
expect 428 "$p" ann-secret PUT $pools/relogio-calc '' '{"spec":{"shards":2}}'
expect 400 "$p" ann-secret PUT $pools/x 'If-Match: 1\r\n' '{"spec":{}}'
expect 400 "$p" ann-secret POST $pools '' '{"name":"x","spec":{"shard":2}}'
expect 400 "$p" ann-secret POST $pools '' '{"name":"x","spec":{},"colour":1}'
expect 400 "$p" ann-secret POST $pools '' '{"name":"x","name":"y","spec":{}}'
expect 400 "$p" ann-secret POST $pools '' '{"name":"X","spec":{}}'
expect 400 "$p" ann-secret POST $pools '' 'nonsense'
expect 400 "$p" ann-secret PUT "$pools/$(printf '%064d' 0)" 'If-None-Match: *\r\n' '{"spec":{}}'
expect 413 "$p" ann-secret POST $pools '' "$(printf '%70000s' x)"
expect 400 "$p" ann-secret PUT $pools/relogio-calc 'If-Match: "1"\r\n' '{"spec":{"shards":3}}'
expect 412 "$p" ann-secret PUT /v1/resources/customer/cust1 'If-Match: "1"\r\n' '{"spec":{}}'
[ "$(counter config appends)" = "$before" ] || fail "a refused request was appended: $before, $(counter config appends)"
expect 409 "$p" ann-secret POST $pools '' '{"name":"relogio-calc","spec":{}}'
expect 412 "$p" ann-secret PUT $pools/relogio-calc 'If-None-Match: *\r\n' '{"spec":{}}'
http "$p" bob-secret POST $pools '' '{"name":"relogio-calc","spec":{}}' | grep -q '"version":1}' \
  || fail "409 does not name the current version"
expect 200 "$p" ann-secret GET /metrics '' ''
grep -q 'event=change actor=bob method=POST .*result=lost-race' "$dir/n1.err" || fail "no actor"
echo "ok  requests are checked before they are appended"

# Customers read each other's jobs.
echo 'put job j1 cust1 {"state":"done"}' > "$dir/n1.in"
echo 'put job j2 cust2 {"state":"done"}' > "$dir/n1.in"
job_there () { http "$p" ann-secret GET /v1/resources/job/j2 '' '' | grep -q '"j2"'; }
until_true "job is listed" job_there
jobs=$(http "$p" cust-secret GET /v1/resources/job '' '' | tail -n 1)
case $jobs in *j2*) fail "customer sees $jobs" ;; *j1*) ;; *) fail "customer sees $jobs" ;; esac
expect 404 "$p" cust-secret GET /v1/resources/job/j2 '' ''
echo "ok  customers see their own jobs only"

# A lost answer that leads to a second append or to a false refusal.
before=$(counter config appends)
control 'stream=config&lose=1'
apply n1 configuration lost '{a: 1}' || fail "change with a lost answer"
[ "$(counter config appends)" = $((before + 1)) ] || fail "appended twice"
echo "ok  a lost answer is read back"

# A duplicated append that takes effect twice.
control 'stream=config&duplicate=1'
apply n2 configuration twice '{a: 1}' || fail "change that is duplicated"
cli n2 delete configuration twice > /dev/null || fail "delete"
# A copy that arrives late, when the resource could be created again.
at=$(sed -n 's/^configuration\/twice created version=//p' "$dir/cli.out")
record=$(http "$log" - GET "/v1/streams/config/records?from=$((at - 1))&limit=1" '' '' \
  | tail -n 1 | sed 's/.*"data":\(.*\)}],"next":.*/\1/')
http "$log" - POST /v1/streams/config/records '' "{\"data\":$record}" | grep -q '"offset"' \
  || fail "late copy"
apply n2 configuration after-twice '{a: 1}' || fail "change after the late copy"
until_true "same state at all nodes" same_state n1 n2 n3
state n1 | grep -q '"twice"' && fail "the duplicate took effect"
echo "ok  a duplicate append has no effect"

# A slow log that is taken for a dead one.
control 'delay_ms=2500'
apply n3 configuration slow '{a: 1}' || fail "change on a slow log"
control 'delay_ms=0'
until_true "same state at all nodes" same_state n1 n2 n3
echo "ok  a slow log is waited for"

# A lagging copy that takes the state back.
known=$(state n1)
control 'stream=config&older=3'
sleep 3
[ "$(state n1)" = "$known" ] || fail "the state went back"
control 'stream=config&older=0'
apply n1 configuration after-older '{a: 1}' || fail "change after an older end"
until_true "same state at all nodes" same_state n1 n2 n3
echo "ok  an older end is ignored"

# An outage that hides the state, or a change during it that is called refused.
known=$(state n2)
control 'down=close'
apply n2 configuration outage '{a: 1}'
[ $? = 4 ] || fail "a change during an outage must have an unknown outcome"
[ "$(state n2)" = "$known" ] || fail "state during an outage"
control 'down=no'
apply n2 configuration outage '{a: 1}' || fail "change after an outage"
until_true "same state at all nodes" same_state n1 n2 n3
echo "ok  an outage keeps the state and ends"

# A connection that is silent for good, which would stop a reader.
control 'down=hang'
until_true "silence is noticed" grep -q 'reason="no answer in time"' "$dir/n3.err"
control 'down=no'
apply n1 configuration silence '{a: 1}' || fail "change after silence"
until_true "same state at all nodes" same_state n1 n2 n3
echo "ok  a silent connection is replaced"

# Two winners of a race, none, or nodes that disagree on the winner. n3 is stopped
# during the race and the log keeps fewer records than it misses.
race_put () { # node token version round
  local condition="If-Match: \"$3\"\r\n"
  [ "$3" != 0 ] || condition='If-None-Match: *\r\n'
  http "${port[$1]}" "$2" PUT /v1/resources/configuration/race "$condition" \
    "{\"spec\":{\"round\":$4,\"by\":\"$1\"}}" > "$dir/race.$1"
}
etag () { sed -n 's/^ETag: "\([0-9]*\)".*/\1/p' "$1"; }

cli n1 get configuration --output json > "$dir/list"
start_version=$(sed 's/.*"kind":"configuration","version":\([0-9]*\),"items".*/\1/' "$dir/list")
watch_from n1 "$start_version" "$dir/watch1"
kill -STOP "${pid[n3]}"
control 'retention=150'
version=0
won_n1=0 won_n2=0
for ((round = 0; round < 500; round++)); do
  race_put n1 ann-secret "$version" "$round" &
  a=$!
  race_put n2 bob-secret "$version" "$round" &
  wait $a $!
  s1=$(status_of < "$dir/race.n1") s2=$(status_of < "$dir/race.n2")
  case $s1/$s2 in
    200/412 | 201/412) won_n1=$((won_n1 + 1)); version=$(etag "$dir/race.n1") ;;
    412/200 | 412/201) won_n2=$((won_n2 + 1)); version=$(etag "$dir/race.n2") ;;
    *) fail "round $round: $s1 and $s2" ;;
  esac
  echo "$version" >> "$dir/winners"
  if [ "$round" = 250 ]; then
    until_true "watch has begun" grep -q round "$dir/watch1"
    kill "$watch"
    wait "$watch" 2>/dev/null
  fi
done
echo "ok  500 races with one winner each"
[ $((won_n1 + won_n2)) = 500 ] || fail "winners"
[ "$(counter config first)" -gt 0 ] || fail "the log has dropped nothing"
kill -CONT "${pid[n3]}"
until_true "same state at all nodes" same_state n1 n2 n3
grep -q 'event=records-expired stream=config' "$dir/n3.err" || fail "n3 did not miss records"
start_node n4
until_true "a new node has the same state" same_state n1 n2 n3 n4
echo "ok  a stopped and a new node start from a snapshot"

# A resumed watch that misses or repeats a change.
last=$(tail -n 1 "$dir/watch1" | sed 's/.*"version":\([0-9]*\),.*/\1/')
watch_from n2 "$last" "$dir/watch2"
until_true "watch has caught up" grep -q "\"version\":$version," "$dir/watch2"
kill "$watch"
cat "$dir/watch1" "$dir/watch2" | sed 's/.*"version":\([0-9]*\),.*/\1/' > "$dir/seen"
cmp -s "$dir/seen" "$dir/winners" || fail "the watch differs from the winners"
expect 410 "${port[n4]}" ann-secret GET "/v1/resources/configuration?watch=1" '' ''
echo "ok  a watch resumes at another node without a gap"

# Watches that use up the server's threads, or stay after their reader has gone.
p=${port[n1]}
fds=()
open_watch () { # kind: opens $fd and reads the status line only
  local line
  exec {fd}<>"/dev/tcp/127.0.0.1/$p"
  printf 'GET /v1/resources/%s?watch=%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n' \
    "$1" "$version" ann-secret >&"$fd"
  read -r -u "$fd" line
  case $line in *200*) return 0 ;; esac
  exec {fd}>&-
  return 1
}
watch_free () { open_watch pool && exec {fd}>&-; }
take_watches () { # kind: all four that n1 may serve
  local i
  fds=()
  for ((i = 0; i < 4; i++)); do
    until_true "watch $i is open" open_watch "$1"
    fds+=("$fd")
  done
}
close_watches () { for fd in "${fds[@]}"; do exec {fd}>&-; done; }

take_watches customer
expect 503 "$p" ann-secret GET "/v1/resources/pool?watch=$version" '' ''
expect 200 "$p" ann-secret GET /v1/resources/pool '' ''
close_watches
until_true "watches are released" watch_free
echo "ok  watches are bounded and released"

# Readers that take nothing and hold a thread for good. They stay connected here.
version=$(http "$p" ann-secret GET /v1/resources/configuration '' '' \
  | sed -n 's/.*"kind":"configuration","version":\([0-9]*\),"items".*/\1/p')
take_watches configuration
long=$(printf '%60000s' x)
big=0
for ((i = 0; i < 200; i++)); do
  condition="If-Match: \"$big\"\r\n"
  [ "$big" != 0 ] || condition='If-None-Match: *\r\n'
  http "$p" ann-secret PUT /v1/resources/configuration/big "$condition" \
    "{\"spec\":{\"text\":\"$long\"}}" > "$dir/big"
  big=$(etag "$dir/big")
done
until_true "slow readers are closed" watch_free
close_watches
echo "ok  readers that take nothing are closed"

# Registrations that are lost or doubled.
control 'stream=members&lose=1'
echo register > "$dir/n1.in"
until_true "n1 is registered" grep -q 'registered rc=0' "$dir/n1.out"
echo register > "$dir/n2.in"
until_true "n2 is registered" grep -q 'registered rc=0' "$dir/n2.out"
until_true "n4 knows both" eval "[ \$(grep -c ^register $dir/n4.out) = 2 ]"
echo remove > "$dir/n2.in"
until_true "n4 knows that n2 left" grep -q 'left=1' "$dir/n4.out"
[ "$(counter members appends)" = 3 ] || fail "members were appended twice"
echo register > "$dir/n2.in"
until_true "a removed incarnation is told so" grep -q 'registered rc=-4' "$dir/n2.out"
echo "ok  registrations survive a lost answer"

# A stop that hangs, crashes or (in the sanitizer build) leaks.
for n in n1 n2 n3 n4; do
  echo quit > "$dir/$n.in"
  wait "${pid[$n]}" || fail "$n ended with $?"
done
echo "ok  nodes stop"
