#!/bin/bash
# Builds the stand-ins of the second review's scripts, into the folder of the
# build of the deploy file, which has to be built before.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/platform/soak/store target/platform/soak/worker
${CC:-cc} -std=c11 -O2 -Wall -Wextra -D_GNU_SOURCE -o target/late-2 review/late-2.c -lpthread
