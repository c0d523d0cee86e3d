#!/usr/bin/env bash
# An entry whose configuration is late. Guards against superseded versions that are read and applied
# one after the other while the newest one is overdue.
cd "$(dirname "$0")/.."
. tests/platform.sh
ENTRIES=1 GUARDS=0

# As large as the platform permits: the newest versions do not fit into one response of the store.
large_config () { put_config "$1" /calc/ $(seq -f '/filler-%g/' 1000); }

applied () { grep -c "config-applied version=$1 " "$RUN/entry-1.log"; }

run () {
  plan_ports
  start_store
  wait_for 5 curl -s -m 1 -o /dev/null "http://$STORE/control" || fail "the store did not start"
  put_config 3 /calc/
  start_entry 1
  wait_for 20 seen entry-1 'config-applied version=3' || fail "version 3 is not applied"

  kill -STOP "$(pid_of entry-1)"
  for version in 4 5 6 7 8 9; do large_config $version; done
  kill -CONT "$(pid_of entry-1)"
  wait_for 20 seen entry-1 'config-applied version=9' || fail "version 9 is not applied"
  echo "superseded versions that were applied after a pause: $(applied '[678]')"
}

run > "$RUN/out"
[ -n "${UPDATE:-}" ] && cp "$RUN/out" tests/run-config-late.expected
diff -u tests/run-config-late.expected "$RUN/out" || { KEEP=1; exit 1; }
