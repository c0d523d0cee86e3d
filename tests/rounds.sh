# rounds.sh -- seeded runs of a script, some at a time; to be sourced by one that defines one_run
#
# SEED names the first run, RUNS their number, AT_A_TIME how many run beside one another.
# KEEP_LOGS=DIR keeps the logs of those that fail.

# A run that gives up before its verdict counts as broken and names the step.
report_run () { # seed
  local said
  said=$(mktemp -d)
  (one_run "$1") > "$said/out" 2> "$said/err"
  local status=$?
  cat "$said/out"
  grep -q '^seed=' "$said/out" \
    || echo "seed=$1 BROKEN: ended without a verdict, status $status: $(tail -n 3 "$said/err" | tr '\n' ' ')"
  rm -rf "$said"
  return $status
}

# Called by one_run with its verdict.
keep_logs () { # seed
  [ -n "${KEEP_LOGS:-}" ] || return 0
  mkdir -p "$KEEP_LOGS" && rm -rf "$KEEP_LOGS/seed-$1" && cp -r "$RUN" "$KEEP_LOGS/seed-$1"
}

run_rounds () { # script
  seq "$SEED" $((SEED + RUNS - 1)) | xargs -P "$AT_A_TIME" -n 1 bash "$1" one 2>&1
}
