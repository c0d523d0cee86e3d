#!/usr/bin/env bash
# Builds the stand-ins of the cases of review 2 into review/tools-2/bin; needs the packages of
# deploy/system.toml and nothing else.
set -eu
cd "$(dirname "$0")/tools-2"
mkdir -p bin
flags="-std=gnu11 -O2 -Wall -Wextra -pthread"
${CC:-gcc} $flags -o bin/worker worker.c serve.c -ljansson
${CC:-gcc} $flags -o bin/store store.c serve.c
${CC:-gcc} $flags -D_GNU_SOURCE -o bin/call call.c
${CC:-gcc} $flags -D_GNU_SOURCE -o bin/channels channels.c
