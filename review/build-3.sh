#!/bin/sh
# Builds the stand-ins that review/11 to review/15 start.
set -eu
cd "$(dirname "$0")/.."
make -s MODE=release build/release/site-standin
packages="libprotobuf-c libmicrohttpd libcurl glib-2.0 jansson libxxhash"
objects=$(find build/release/src build/release/platform -name '*.o' ! -path build/release/src/main.o)
# shellcheck disable=SC2046,SC2086
gcc -std=gnu11 -Wall -O2 -g -D_GNU_SOURCE -iquote src -iquote src/io \
  -iquote src/proto -iquote platform -iquote tests \
  $(pkg-config --cflags $packages) -o build/standin-3 review/workers-3.c \
  build/release/tests/site_standin.o build/release/tests/site_door.o \
  build/release/tests/site_load.o $objects \
  $(pkg-config --libs $packages) -lev -lm
