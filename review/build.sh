#!/bin/sh
# Builds the stand-ins that the scripts of this folder start, the project's store
# included, into target/. To be run after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/gypsumnotchd target/platform/soak/store
mkdir -p target/review
packages="glib-2.0 jansson libmicrohttpd libcurl"
# shellcheck disable=SC2046
${CC:-cc} -std=gnu11 -O2 -Wall -o target/review/worker review/worker.c \
	$(pkg-config --cflags --libs $packages) -lpthread
${CC:-cc} -std=gnu11 -O2 -Wall -D_GNU_SOURCE -o target/review/call review/call.c
${CC:-cc} -std=gnu11 -O2 -Wall -D_GNU_SOURCE -o target/review/gate review/gate.c -lpthread
