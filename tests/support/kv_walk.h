/**
 * @file kv_walk.h
 * @brief Random walks of several clients of one key-value service.
 */
#ifndef GN_TESTS_KV_WALK_H
#define GN_TESTS_KV_WALK_H

#include "support/fake_kv.h"
#include "support/walk.h"

/** Simulated time of one step. */
#define KV_WALK_STEP_US (20 * GN_US_PER_MS)

/** Event counts of every walk; a walk's own counts follow them. */
typedef enum kv_walk_count_e {
	KV_WALK_LATE,
	KV_WALK_LOST,
	KV_WALK_DROPPED,
	KV_WALK_OLDER,
	KV_WALK_REFUSED,
	KV_WALK_CUT,
	KV_WALK_FREEZES,
	KV_WALK_COUNT
} kv_walk_count_t;

/** Initializers of the counts above; they come first in a plan's counts. */
#define KV_WALK_COUNT_NAMES                                            \
	[KV_WALK_LATE] = { "late", GN_WALK_SOME },                     \
	[KV_WALK_LOST] = { "lost answer", GN_WALK_SOME },              \
	[KV_WALK_DROPPED] = { "dropped request", GN_WALK_SOME },       \
	[KV_WALK_OLDER] = { "older read", GN_WALK_SOME },              \
	[KV_WALK_REFUSED] = { "refused, service down", GN_WALK_SOME }, \
	[KV_WALK_CUT] = { "cut", GN_WALK_SOME },                       \
	[KV_WALK_FREEZES] = { "freeze", GN_WALK_EACH }

/** Upper limits of the randomly chosen fault probabilities, 0..1. */
typedef struct kv_walk_faults_s {
	double lose_answer;
	double drop_request;
	double late;
	double frozen; /**< The probability itself, not a limit. */
} kv_walk_faults_t;

/** State common to all walks; first member of a walk's own state. */
typedef struct kv_walk_s {
	gn_clock_t clock;
	GRand *rand;
	kv_state_t *state;
	GPtrArray *fakes; /**< Clients, of type fake_kv_t. */
	uint64_t *counts;
	const char *violation; /**< First violation, or NULL. */
} kv_walk_t;

/**
 * Definition of a walk. The callbacks receive the walk's state, whose first
 * member is a kv_walk_t.
 */
typedef struct kv_walk_spec_s {
	size_t size; /**< Size of the walk's state, which is zeroed first. */
	unsigned clients;
	unsigned steps; /**< Number of steps with faults. */
	/** Number of steps without faults, in which pending calls complete. */
	unsigned fault_free_steps;
	/** Initializes the state and connects the clients in order. */
	void (*open)(void *walk, unsigned mutant);
	void (*inject_faults)(void *walk, unsigned client);
	void (*step)(void *walk, unsigned client);
	void (*check_step)(void *walk); /**< Called after each step; or NULL. */
	void (*check_end)(void *walk); /**< Called after all steps. */
	void (*close)(void *walk);
} kv_walk_spec_t;

/** Runs one walk; implements gn_walk_plan_t.run. */
const char *kv_walk_run(const kv_walk_spec_t *spec, guint32 seed,
			unsigned mutant, uint64_t *counts);

/** Records a violation; only the first one is kept. */
void kv_walk_violate(kv_walk_t *walk, const char *what);

/** Creates another client of the walk's service; the walk frees it. */
fake_kv_t *kv_walk_connect(kv_walk_t *walk);
/** Sets new random faults of a client. */
void kv_walk_draw_faults(kv_walk_t *walk, fake_kv_t *fake,
			 const kv_walk_faults_t *max_faults);
#endif
