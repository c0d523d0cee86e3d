#!/usr/bin/env bash
# A short run of the fault soak with fixed seeds; see soak.sh. Seeds that ever failed
# stand in soak-seeds.txt, one a line with the cause, and are rerun here.
cd "$(dirname "$0")/.."
status=0
SEED=301 RUNS=2 FAULTS=6 AT_A_TIME=2 bash tests/soak.sh || status=1
while read -r seed _; do
  case $seed in '' | '#'*) continue ;; esac
  SEED=$seed RUNS=1 bash tests/soak.sh || status=1
done < tests/soak-seeds.txt
exit $status
