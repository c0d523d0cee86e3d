#!/usr/bin/env bash
# Short seeded rounds of the rig that judges every end of a process; see ends-rig.sh.
cd "$(dirname "$0")/.."
SEED=401 RUNS=2 AT_A_TIME=2 EVENTS=30 bash tests/ends-rig.sh
