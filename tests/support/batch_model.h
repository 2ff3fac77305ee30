/**
 * @file batch_model.h
 * @brief A small model around the batch decisions, for seeded random walks.
 *
 * Three workers with their agents and backend servers, up to three entries,
 * one platform, one bucket, one network. The entries and agents run the
 * product's decision modules; all else is the least that can surround them.
 * Each process has a clock with a rate of its own. After each step the model
 * checks what must always hold.
 */
#ifndef GN_TESTS_BATCH_MODEL_H
#define GN_TESTS_BATCH_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <talloc.h>

#include "gypsumnotch.h"

/** Length of a step, microseconds of true time. */
#define GN_MODEL_STEP_US 250000
/** Steps of a walk. */
#define GN_MODEL_WALK_STEPS 700

/* clang-format off */
/** Faults that occurred and paths that were taken, by name. */
#define GN_MODEL_COUNTS(count) \
	count(cut_both) count(cut_one_way) count(lone_newcomer) \
	count(newcomer_replaced) count(entry_freeze) count(entry_restart) \
	count(entry_new) count(entry_gone) count(agent_freeze) \
	count(agent_restart) count(backend_crash) count(host_replaced) \
	count(platform_down) count(platform_slow) count(answer_lost) \
	count(message_late) count(message_duplicated) \
	count(write_sent_twice) count(clock_slow) count(clock_fast) \
	count(hand_over) count(drain) count(evict) count(second_outage) \
	count(healed_early) \
	count(take) count(claim_start) count(finish_told) \
	count(not_run_told) count(unknown_told) count(submit_told) \
	count(dark_promise) count(vouched) count(retired) \
	count(lapse_move) count(older_view) count(read_back) \
	count(lost_bucket) count(refused_epoch) count(refused_late) \
	count(resume) count(rejoin)

/** Faults that are drawn in pairs. */
#define GN_MODEL_PAIRED(fault) \
	fault(owner_frozen) fault(owner_killed) fault(write_answer_lost) \
	fault(outage) fault(owner_cut) fault(newcomer_alone)
/* clang-format on */

typedef enum gn_model_paired_e {
#define GN_MODEL_PAIRED_NUMBER(name) GN_MODEL_##name,
	GN_MODEL_PAIRED(GN_MODEL_PAIRED_NUMBER)
#undef GN_MODEL_PAIRED_NUMBER
		GN_MODEL_PAIRED_COUNT
} gn_model_paired_t;

/** Counts, each of them 64 bits: an array as well. */
typedef struct gn_model_counts_s {
#define GN_MODEL_COUNT_FIELD(name) uint64_t name;
	GN_MODEL_COUNTS(GN_MODEL_COUNT_FIELD)
#undef GN_MODEL_COUNT_FIELD
	/** [a][a]: a struck; [a][b], a < b: one struck while the other was in
	 * force, or at most GN_MODEL_PAIR_US after it. */
	uint64_t paired[GN_MODEL_PAIRED_COUNT][GN_MODEL_PAIRED_COUNT];
	uint64_t outage_twice; /**< [outage][outage] as a pair */
} gn_model_counts_t;

/** Faults so close to each other count as a pair, microseconds. */
#define GN_MODEL_PAIR_US (5 * GN_US_PER_S)
/** Every so many seeds, from 1 on, faults are drawn in pairs as well. */
#define GN_MODEL_PAIR_SEEDS 4

/**
 * Every so many seeds, from 3 on, all act and answer as fast as they can, and
 * owners that were cut off are back while a newcomer has their bucket, so that
 * what is told closely follows what was promised.
 */
#define GN_MODEL_QUICK_SEEDS 4

/** Planted bugs outside of the product, in the model's entries. */
typedef enum gn_model_bug_e {
	GN_MODEL_BUG_NONE,
	GN_MODEL_BUG_EARLY_ACK, /**< acknowledges what it has not adopted */
	GN_MODEL_BUG_EARLY_RETIRE, /**< retired before its promises lapsed */
} gn_model_bug_t;

typedef struct gn_model_s gn_model_t;

/** Every so many seeds, a walk has mostly lone newcomers and late answers. */
#define GN_MODEL_OUTAGE_SEEDS 4

/** Creates the model of the walk @p seed; counts are added to @p counts. */
gn_model_t *gn_model_create(TALLOC_CTX *parent, uint32_t seed,
			    gn_model_counts_t *counts);

/** Moves on by one step. @return NULL, or static text: what was violated. */
const char *gn_model_step(gn_model_t *model);

/** Runs one whole walk. @return NULL, or what was violated. */
const char *gn_model_walk(uint32_t seed, gn_model_bug_t bug,
			  gn_model_counts_t *counts);

#endif
