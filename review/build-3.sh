#!/usr/bin/env bash
# Builds the stand-ins of review/11 and later into build/review-3. They use libc and jansson only.
set -eu
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
for name in store worker client put; do
  ${CC:-gcc} -std=gnu11 -O2 -Wall -Wextra -pthread -o "$out/$name" "review/tools-3/$name.c" \
    review/tools-3/http.c -ljansson
done
for name in proxy ports slow; do
  ${CC:-gcc} -std=gnu11 -O2 -Wall -Wextra -pthread -o "$out/$name" "review/tools-3/$name.c"
done
