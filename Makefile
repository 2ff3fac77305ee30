# make            build the daemon, the command line tool and the tests
# make demo       install missing packages, build, run the demonstration
# make check      build and run all tests (VARIANT=release|asan|tsan)
# make bench      build and run all benchmarks; see docs/MEASUREMENTS.md
# make format     format the sources with clang-format
# make lint       check format and run the linter, as CI does
# make proto      regenerate the message code in the repository (protobuf-c-compiler)

VARIANT ?= release
BUILD := build/$(VARIANT)

PKGS := talloc tevent libzmq libmicrohttpd libcurl argtable2 glib-2.0 \
	libprotobuf-c jansson libxxhash
CFLAGS_release := -O2 -g
CFLAGS_asan := -O1 -g -fsanitize=address,undefined -fno-sanitize-recover=all
CFLAGS_tsan := -O1 -g -fsanitize=thread
WARNINGS := -Wall -Wextra -Wvla -Werror
CPPFLAGS += -D_GNU_SOURCE -Ilib -Itests
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
ALL_CFLAGS := -std=c11 -Wstrict-prototypes -Wmissing-prototypes $(WARNINGS) \
	$(CFLAGS_$(VARIANT)) $(CFLAGS) $(PKG_CFLAGS) $(CPPFLAGS) -MMD -MP
ALL_CXXFLAGS := -std=c++17 -include limits -Wall -Wextra -Werror \
	$(CFLAGS_$(VARIANT)) $(CXXFLAGS) $(CPPFLAGS) -MMD -MP
LDLIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lm -lpthread

LIB_C := $(sort $(wildcard lib/*/*.c))
LIB_CXX := $(sort $(wildcard lib/*/*.cc))
ADAPTER_C := $(sort $(wildcard platform/*.c))
LIB_OBJ := $(ADAPTER_C:%.c=$(BUILD)/%.o) $(LIB_C:%.c=$(BUILD)/%.o) $(LIB_CXX:%.cc=$(BUILD)/%.o)
LIB := $(BUILD)/libgypsumnotch.a
SUPPORT_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard tests/support/*.c)))

PROGRAMS := $(BUILD)/gypsumnotchd $(BUILD)/gypsumnotchctl
STANDINS := $(patsubst tests/standin/%.c,$(BUILD)/tests/standin/%,$(sort $(wildcard tests/standin/*.c)))
TESTS := $(patsubst %.c,$(BUILD)/%,$(sort $(wildcard tests/unit/test_*.c tests/contract/test_*.c \
	platform/tests/test_*.c)))
SOAK_MAINS := platform/soak/soak.c platform/soak/store.c platform/soak/worker.c
SOAK_EXECUTOR := $(BUILD)/platform/soak/executor
SOAK_PARTS := $(filter-out $(SOAK_MAINS) platform/soak/cut.c,$(sort $(wildcard platform/soak/*.c)))
SOAK := $(SOAK_MAINS:%.c=$(BUILD)/%)
BENCHES := $(patsubst %.c,$(BUILD)/%,$(sort $(wildcard tests/bench/*.c)))

SOURCES := $(filter-out %.pb-c.c %.pb-c.h,$(sort $(wildcard lib/*.h lib/*/*.[ch] \
	platform/*.[ch] platform/*/*.[ch] programs/*/*.[ch] tests/*/*.[ch])))
LINT_C := $(filter %.c,$(SOURCES))

.PHONY: all check bench demo format lint proto clean install-deps
.SECONDARY:

all: $(PROGRAMS) $(STANDINS) $(TESTS) $(BENCHES) $(SOAK) $(SOAK_EXECUTOR)

$(BUILD)/%.pb-c.o: %.pb-c.c
	@mkdir -p $(@D)
	$(CC) -std=c11 $(CFLAGS_$(VARIANT)) $(PKG_CFLAGS) $(CPPFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -c -o $@ $<

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(ALL_CXXFLAGS) -c -o $@ $<

$(LIB): $(LIB_OBJ)
	@rm -f $@
	$(AR) rcs $@ $^

LINK := $(CXX) $(CFLAGS_$(VARIANT)) -o

$(BUILD)/gypsumnotchd: $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard programs/gypsumnotchd/*.c))) $(LIB)
	$(LINK) $@ $^ $(LDLIBS)

$(BUILD)/gypsumnotchctl: $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard programs/gypsumnotchctl/*.c))) $(LIB)
	$(LINK) $@ $^ $(LDLIBS)

$(SOAK_EXECUTOR): $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard programs/gypsumnotchd/*.c)) \
		platform/soak/cut.c) $(LIB)
	$(LINK) $@ $^ $(LDLIBS)

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(SUPPORT_OBJ) $(LIB)
	$(LINK) $@ $^ $(LDLIBS)

$(BUILD)/platform/soak/%: $(BUILD)/platform/soak/%.o $(SOAK_PARTS:%.c=$(BUILD)/%.o) \
		$(SUPPORT_OBJ) $(LIB)
	$(LINK) $@ $^ $(LDLIBS)

$(BUILD)/platform/tests/%: $(BUILD)/platform/tests/%.o $(SOAK_PARTS:%.c=$(BUILD)/%.o) \
		$(SUPPORT_OBJ) $(LIB)
	$(LINK) $@ $^ $(LDLIBS)

check: all
	tests/run.sh $(BUILD)

bench: all
	tests/bench.sh $(BUILD)

demo:
	@.ci/install-deps
	@$(MAKE) --no-print-directory -j$$(nproc) all >/dev/null
	tests/demo.sh $(BUILD)

install-deps:
	.ci/install-deps

format:
	clang-format -i $(SOURCES)

lint:
	clang-format --dry-run -Werror $(SOURCES)
	printf '%s\n' $(LINT_C) | xargs -P$$(nproc) -n1 tests/lint.sh $(PKG_CFLAGS) $(CPPFLAGS) --

proto:
	cd lib/wire && protoc-c --c_out=. gypsumnotch.proto
	cd lib/job && protoc-c --c_out=. job.proto

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
