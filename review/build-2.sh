#!/bin/sh
# Builds what the scripts review/6 to review/10 start, after the build of the
# deploy file: the stand-in of the platform and the program of the cases.
set -eu
cd "$(dirname "$0")/.."
make -s -j4 MODE=release build/release/site-standin build/release/magnoliadock
mkdir -p target build/review
[ -x target/magnoliadock ] || cp build/release/magnoliadock target/
flags="-D_GNU_SOURCE -iquote src -iquote src/io -iquote src/proto
  -iquote platform -iquote tests -iquote review -std=gnu11 -O2 -g
  -Wall -Wextra -Wno-unused-parameter"
# shellcheck disable=SC2046,SC2086
gcc $flags $(pkg-config --cflags glib-2.0 jansson) -o build/review/standin-2 \
  review/standin-2.c build/release/tests/site_door.o \
  build/release/tests/site_load.o build/release/tests/site_standin.o \
  $(find build/release/src build/release/platform -name '*.o' ! -name main.o) \
  $(pkg-config --libs libprotobuf-c libmicrohttpd libcurl glib-2.0 jansson \
    libxxhash) -lev -lm
# shellcheck disable=SC2046,SC2086
gcc $flags $(pkg-config --cflags glib-2.0 jansson) -o build/review/cases-2 \
  review/cases-2.c review/drive-2.c \
  $(pkg-config --libs glib-2.0 jansson) -lpthread
