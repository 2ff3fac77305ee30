/**
 * @file kv_walk.h
 * @brief What seeded walks over one key-value service share.
 */
#ifndef GN_TESTS_KV_WALK_H
#define GN_TESTS_KV_WALK_H

#include "support/fake_kv.h"
#include "support/walk.h"

#define KV_WALK_STEP_US (20 * GN_US_PER_MS)

/** What every such walk counts, before what it adds itself. */
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

/** Names of the counts above, at the head of a plan's. */
#define KV_WALK_COUNT_NAMES                                            \
	[KV_WALK_LATE] = { "late", GN_WALK_SOME },                     \
	[KV_WALK_LOST] = { "lost answer", GN_WALK_SOME },              \
	[KV_WALK_DROPPED] = { "dropped request", GN_WALK_SOME },       \
	[KV_WALK_OLDER] = { "older read", GN_WALK_SOME },              \
	[KV_WALK_REFUSED] = { "refused, service down", GN_WALK_SOME }, \
	[KV_WALK_CUT] = { "cut", GN_WALK_SOME },                       \
	[KV_WALK_FREEZES] = { "freeze", GN_WALK_EACH }

/** The most that is drawn of each chance, 0..1. */
typedef struct kv_walk_faults_s {
	double lose_answer;
	double drop_request;
	double late;
	double frozen; /**< the chance itself */
} kv_walk_faults_t;

/** The head of a walk. */
typedef struct kv_walk_s {
	gn_clock_t clock;
	GRand *rand;
	kv_state_t *state;
	GPtrArray *fakes; /**< fake_kv_t */
	uint64_t *counts;
	const char *violation;
} kv_walk_t;

/** What a walk does; a kv_walk_t is the first member of what is passed. */
typedef struct kv_walk_shape_s {
	size_t size; /**< of the walk, all zero at first */
	unsigned clients;
	unsigned steps; /**< of KV_WALK_STEP_US, with faults */
	unsigned fault_free_steps; /**< without, for what is on its way */
	/** Connects the clients, in their order. */
	void (*open)(void *walk, unsigned mutant);
	void (*inject_faults)(void *walk, unsigned client);
	void (*step)(void *walk, unsigned client);
	void (*check_round)(void *walk); /**< after each step; or NULL */
	void (*check_end)(void *walk); /**< after the quiet steps */
	void (*close)(void *walk);
} kv_walk_shape_t;

/** Runs one walk, as a plan's run does. */
const char *kv_walk_run(const kv_walk_shape_t *shape, guint32 seed,
			unsigned mutant, uint64_t *counts);

/** Notes the first violation. */
void kv_walk_violate(kv_walk_t *walk, const char *what);

/** Another client of the walk's service, which ends with the walk. */
fake_kv_t *kv_walk_connect(kv_walk_t *walk);
/** Draws new faults for a client. */
void kv_walk_draw_faults(kv_walk_t *walk, fake_kv_t *fake,
			 const kv_walk_faults_t *most);
#endif
