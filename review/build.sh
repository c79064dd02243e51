#!/bin/sh
# Builds the stand-in and the client of the cases into build/review/.  It uses
# the project's object files and the packages of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -s -j4 MODE=release magnoliadock
mkdir -p build/review
packages='libprotobuf-c libmicrohttpd libcurl glib-2.0 jansson libxxhash'
flags='-std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE'
objects=$(find build/release/src build/release/platform -name '*.o' \
  ! -path build/release/src/main.o)
# shellcheck disable=SC2046,SC2086
gcc $flags -iquote src -iquote src/io $(pkg-config --cflags $packages) \
  -o build/review/standin review/standin.c $objects \
  $(pkg-config --libs $packages) -lev -lm
# shellcheck disable=SC2086
gcc $flags -o build/review/call review/call.c
