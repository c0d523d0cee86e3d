#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs what the build of
# deploy/system.toml needs, and nothing else.
set -e
cd "$(dirname "$0")/.."
make -s -j4 B=target target/mulberrydrift
mkdir -p target/review
flags="-std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -pthread -Icore -Isched -Icommon -Inet -Itests -Itarget"
objects="$(ls target/common/*.o target/net/*.o) target/libmulberrydrift.a"
libraries="-lcivetweb -lcurl -lcrypto -lprotobuf-c -lpopt -lyaml -lurcu-memb -lurcu-cds -lurcu-common -ljansson -lxxhash -lpthread -lm"
cc="${CC:-gcc} $flags"
$cc -o target/review/workers review/tools/workers.c $objects $libraries
$cc -o target/review/client review/tools/client.c $objects $libraries
$cc -o target/review/platform-store tests/platform-store.c tests/server-util.c $objects $libraries
$cc -o target/review/freeport tests/freeport.c tests/port-util.c
