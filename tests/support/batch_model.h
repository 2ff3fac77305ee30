/**
 * @file batch_model.h
 * @brief A model of a cluster around the batch decision modules, for seeded
 * random walks.
 *
 * The model has three workers, each with an agent and a backend server, up to
 * four entries, one platform, one bucket and one network. The entries and
 * agents run the product's decision modules; everything else is a minimal
 * simulation. Each process has a clock that runs at its own rate. After each
 * step the model checks the safety invariants.
 */
#ifndef GN_TESTS_BATCH_MODEL_H
#define GN_TESTS_BATCH_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <talloc.h>

#include "gypsumnotch.h"

/** Duration of a step in microseconds of simulated true time. */
#define GN_MODEL_STEP_US 250000
/** Number of steps of a walk. */
#define GN_MODEL_WALK_STEPS 700

/* clang-format off */
/** Names of the counters of injected faults and covered code paths. */
#define GN_MODEL_COUNTS(count) \
	count(cut_both) count(cut_one_way) count(newcomer_isolated) \
	count(newcomer_replaced) count(entry_freeze) count(entry_restart) \
	count(entry_added) count(entry_removed) count(agent_freeze) \
	count(agent_restart) count(backend_crash) count(host_replaced) \
	count(platform_down) count(platform_slow) count(answer_lost) \
	count(message_late) count(message_duplicated) \
	count(write_sent_twice) count(clock_slow) count(clock_fast) \
	count(ownership_released) count(drain) count(evict) \
	count(second_outage) count(early_reconnect) \
	count(ownership_taken) count(claim_start) count(done_reported) \
	count(not_run_reported) count(unknown_reported) count(submit_reported) \
	count(outage_promise) count(vouched) count(retired) \
	count(lapse_move) count(older_view) count(read_back) \
	count(lost_bucket) count(refused_epoch) count(refused_late) \
	count(resume) count(rejoin)

/** Names of the faults that are injected in pairs. */
#define GN_MODEL_PAIRED(fault) \
	fault(owner_frozen) fault(owner_killed) fault(write_answer_lost) \
	fault(outage) fault(owner_cut) fault(newcomer_isolated)
/* clang-format on */

typedef enum gn_model_paired_e {
#define GN_MODEL_PAIRED_NUMBER(name) GN_MODEL_##name,
	GN_MODEL_PAIRED(GN_MODEL_PAIRED_NUMBER)
#undef GN_MODEL_PAIRED_NUMBER
		GN_MODEL_PAIRED_COUNT
} gn_model_paired_t;

/**
 * Counters. All members are uint64_t, so that the structure can be read as an
 * array.
 */
typedef struct gn_model_counts_s {
#define GN_MODEL_COUNT_FIELD(name) uint64_t name;
	GN_MODEL_COUNTS(GN_MODEL_COUNT_FIELD)
#undef GN_MODEL_COUNT_FIELD
	/** Element [a][a] counts the injections of fault a. Element [a][b] with
	 * a < b counts the injections of one of the two faults while the other
	 * was in force or at most GN_MODEL_PAIR_US after its end. */
	uint64_t paired[GN_MODEL_PAIRED_COUNT][GN_MODEL_PAIRED_COUNT];
	uint64_t outage_twice; /**< pairs of two outages */
} gn_model_counts_t;

/** Largest distance of two faults that count as a pair, in microseconds. */
#define GN_MODEL_PAIR_US (5 * GN_US_PER_S)
/** Seeds that are 1 modulo this number also inject faults in pairs. */
#define GN_MODEL_PAIR_SEEDS 4

/**
 * In walks whose seed is 3 modulo this number, every process acts at every
 * step, messages take one step, and owners that were cut off reconnect while a
 * new entry owns their bucket. Reports to callers then closely follow the
 * promises that they rely on.
 */
#define GN_MODEL_QUICK_SEEDS 4

/** Bugs that can be planted in the model's entries, outside the product. */
typedef enum gn_model_bug_e {
	GN_MODEL_BUG_NONE,
	GN_MODEL_BUG_EARLY_ACK, /**< acknowledges unadopted revisions */
	GN_MODEL_BUG_EARLY_RETIRE, /**< retires before promises lapse */
} gn_model_bug_t;

typedef struct gn_model_s gn_model_t;

/**
 * In walks whose seed is a multiple of this number, most cuts isolate new
 * entries together with the platform, and more messages are delayed.
 */
#define GN_MODEL_OUTAGE_SEEDS 4

/**
 * Creates the model of the walk @p seed. It increments the counters in
 * @p counts, which must outlive it. The caller frees it with talloc_free().
 */
gn_model_t *gn_model_create(TALLOC_CTX *parent, uint32_t seed,
			    gn_model_counts_t *counts);

/**
 * Simulates one step.
 * @return NULL, or a static text that names the first violated invariant
 */
const char *gn_model_step(gn_model_t *model);

/**
 * Runs one whole walk.
 * @return NULL, or a static text that names the first violated invariant
 */
const char *gn_model_walk(uint32_t seed, gn_model_bug_t bug,
			  gn_model_counts_t *counts);

#endif
