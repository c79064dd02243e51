# magnoliadock build.  Targets: magnoliadock (default), all, check, demo,
# format, format-check, lint, proto, deps, clean.  MODE=release (default) or
# MODE=asan selects the build folder and the flags.

MODE ?= release
BUILD := build/$(MODE)
CC := gcc
PKGS := libprotobuf-c libmicrohttpd libcurl glib-2.0 jansson libxxhash
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lev -lm
CFLAGS_release := -O2 -g
CFLAGS_asan := -O1 -g -fsanitize=address,undefined,float-cast-overflow -fno-omit-frame-pointer \
  -fno-sanitize-recover=undefined,float-cast-overflow
CPPFLAGS := -D_GNU_SOURCE -iquote src -iquote src/io -iquote src/proto \
  -iquote platform \
  -iquote tests $(PKG_CFLAGS)
CFLAGS := -std=gnu11 -Wall -Wextra -Wshadow -Wstrict-prototypes -Werror \
  -Wno-unused-parameter $(CFLAGS_$(MODE))

CORE_SRCS := $(filter-out src/main.c,$(wildcard src/*.c))
IO_SRCS := $(wildcard src/io/*.c)
PLATFORM_SRCS := $(wildcard platform/*.c)
PROTO_SRCS := $(wildcard src/proto/*.pb-c.c)
LIB_OBJS := $(patsubst %.c,$(BUILD)/%.o,$(CORE_SRCS) $(IO_SRCS) $(PLATFORM_SRCS) \
  $(PROTO_SRCS))
MAIN_OBJS := $(BUILD)/src/main.o
# tests/test_*.c hold CUnit suites, tests/fake_*.c fakes that they share,
# tests/standin*.c the stand-in program, tests/site_*.c the stand-in of the
# users' platform, tests/oracle.c the rules that fakes and stand-in check.
TEST_OBJS := $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/test_*.c \
  tests/fake_*.c tests/oracle.c))
STANDIN_OBJS := $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/standin*.c))
SITE_OBJS := $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/site_*.c) \
  tests/oracle.c)
FORMAT_SRCS := $(filter-out %.pb-c.c %.pb-c.h,$(wildcard src/*.[ch] \
  src/io/*.[ch] platform/*.[ch] tests/*.[ch]))

magnoliadock: $(BUILD)/magnoliadock

all: $(BUILD)/magnoliadock $(BUILD)/standin $(BUILD)/site-standin \
  $(BUILD)/unit-tests

$(BUILD)/magnoliadock: $(MAIN_OBJS) $(LIB_OBJS)
	$(CC) $(CFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/standin: $(STANDIN_OBJS) $(LIB_OBJS)
	$(CC) $(CFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/site-standin: $(SITE_OBJS) $(LIB_OBJS)
	$(CC) $(CFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/unit-tests: $(TEST_OBJS) $(LIB_OBJS)
	$(CC) $(CFLAGS) -o $@ $^ $(PKG_LIBS) -lcunit

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

# Generated code is committed; run this after editing src/proto/peer.proto.
proto:
	protoc-c --proto_path=src/proto --c_out=src/proto src/proto/peer.proto

format:
	clang-format -i $(FORMAT_SRCS)

format-check:
	clang-format --dry-run -Werror $(FORMAT_SRCS)

TIDY_SRCS := $(filter %.c,$(FORMAT_SRCS))
lint:
	cppcheck --quiet --error-exitcode=1 --std=c11 -j 8 --inline-suppr \
	  --enable=warning,portability --suppress=missingInclude \
	  --suppress=nullPointerRedundantCheck --suppress=checkersReport \
	  --suppress=varFuncNullUB --library=gtk \
	  --suppress='preprocessorErrorDirective:src/proto/*' \
	  --library=scripts/cppcheck.cfg \
	  -D_GNU_SOURCE -Isrc -Isrc/io -Isrc/proto -Iplatform \
	  $(filter %.c,$(FORMAT_SRCS))
	printf '%s\n' $(TIDY_SRCS) | xargs -P 8 -n 1 scripts/tidy

deps:
	scripts/install-deps

check: deps
	scripts/check

demo: deps
	$(MAKE) all
	scripts/demo

clean:
	rm -rf build

-include $(LIB_OBJS:.o=.d) $(MAIN_OBJS:.o=.d) $(TEST_OBJS:.o=.d) \
  $(STANDIN_OBJS:.o=.d) $(SITE_OBJS:.o=.d)

.PHONY: all magnoliadock proto format format-check lint deps check demo clean
