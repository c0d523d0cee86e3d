#!/usr/bin/env bash
# Scripts that plan their ports beside one another and use them later: no port is planned twice.
# Guards against ports that are kept for a subshell of a script, which ends before the script does.
cd "$(dirname "$0")/.."
SCRIPTS=12

plan_on_platform () {
  . tests/platform.sh
  GUARDS=11
  plan_ports
  local n
  echo "$INNER $CALLERS $READY $METRICS ${STORE#*:}"
  for n in $(seq "$GUARDS"); do eval "echo \${ORDERS_$n#*:} \${REGISTER_$n#*:} \${VIA_$n#*:}"; done
}
plan_on_cluster () {
  . tests/cluster.sh
  local n
  for n in $(seq 12); do
    reserve_entry "$n"
    eval "echo \${INTERNAL_$n#*:} \${CALLER_$n#*:} \${OPERATOR_$n#*:}"
  done
}

if [ "${1:-}" = plan ]; then # plan KIND FILE END: keeps the ports until the file END is there
  { "plan_on_$2"; } > "$3.new"
  mv "$3.new" "$3"
  until [ -e "$4" ]; do sleep 0.05; done
  exit
fi

dir=$(mktemp -d)
trap ': > "$dir/end"; wait; rm -rf "$dir"' EXIT
for n in $(seq "$SCRIPTS"); do
  [ $((n % 2)) = 0 ] && kind=platform || kind=cluster
  bash tests/run-ports.sh plan "$kind" "$dir/ports-$n" "$dir/end" &
done
left=600
until [ "$(ls "$dir" | grep -c '^ports-[0-9]*$')" = "$SCRIPTS" ]; do
  left=$((left - 1))
  [ $left -gt 0 ] || { echo "FAILED: not every script planned its ports"; exit 1; }
  sleep 0.05
done
planned=$(cat "$dir"/ports-* | xargs -n 1 | wc -l)
twice=$(cat "$dir"/ports-* | xargs -n 1 | sort | uniq -d | wc -l)
[ "$planned" = $((SCRIPTS * 37)) ] || { echo "FAILED: $planned ports planned"; exit 1; }
[ "$twice" = 0 ] || { echo "FAILED: $twice ports planned twice"; exit 1; }
echo "$SCRIPTS scripts at a time: no port is planned twice"
