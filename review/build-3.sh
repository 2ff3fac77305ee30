#!/bin/sh
# Builds the stand-ins of the third review into target/, after the build of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
make -j4 BUILD=target target/platform/soak/store
mkdir -p target/review
${CC:-cc} -std=c11 -O2 -Wall -Wextra -o target/review/stand-3 review/stand-3.c \
	$(pkg-config --cflags --libs libmicrohttpd jansson) -lpthread
