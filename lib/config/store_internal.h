/**
 * @file store_internal.h
 * @brief What the modules of the store share.
 */
#ifndef GN_CONFIG_STORE_INTERNAL_H
#define GN_CONFIG_STORE_INTERNAL_H

#include "config/store.h"
#include "platform/backoff.h"
#include "platform/watch.h"

/** Planted faults, which the walks of the tests must find. */
typedef enum gn_store_mutant_e {
	GN_STORE_MUTANT_NONE = 0,
	/** a write whose answer was lost is made anew on what is there now */
	GN_STORE_MUTANT_BLIND_REWRITE,
	/** an older document replaces a newer one */
	GN_STORE_MUTANT_ADOPT_OLDER,
	/** a change is told as accepted when its answer was lost */
	GN_STORE_MUTANT_ACCEPT_EARLY,
	/** a change is told as not done when its answer was lost */
	GN_STORE_MUTANT_DENY_EARLY,
	/** a change of the same part by another operator is overwritten */
	GN_STORE_MUTANT_REBASE_ALWAYS,
	GN_STORE_MUTANT_COUNT
} gn_store_mutant_t;

/** Where a change stands. */
typedef enum gn_store_step_e {
	GN_STORE_READ = 0, /**< reads what to build on */
	GN_STORE_WRITE, /**< writes */
	GN_STORE_READ_BACK, /**< reads back what became of a write */
} gn_store_step_t;

/** A change in progress. */
typedef struct gn_store_work_s {
	gn_store_t *store;
	gn_store_change_t change;
	gn_store_done_t done;
	void *context;
	gn_store_step_t step;
	gn_kv_call_t call; /**< in progress, or 0 */
	uint64_t due_us; /**< of the next call */
	uint64_t deadline_us;
	gn_backoff_t backoff;
	gn_config_doc_t *base; /**< what is built on; NULL before a read */
	uint64_t base_key_revision;
	uint64_t part_revision; /**< of the part when it was first read */
	bool has_part_revision;
	gn_config_doc_t *proposal;
	char *value; /**< the proposal encoded; free() */
	bool may_be_applied; /**< a copy of the write may have taken effect */
} gn_store_work_t;

struct gn_store_s {
	gn_store_options_t options;
	gn_kv_watch_t *watch;
	gn_config_doc_t *current;
	GQueue queue; /**< of gn_store_work_t; the head is in progress */
	GQueue rejected; /**< of gn_store_work_t, to be told so */
	gn_store_mutant_t mutant;
};

/** Plants a fault; for tests. */
void gn_store_set_mutant(gn_store_t *store, gn_store_mutant_t mutant);

/** Adopts @p doc if it is newer; command of the store's own modules. */
void gn_store_adopt(gn_store_t *store, const gn_config_doc_t *doc);

/** Creates a change in progress; NULL if memory is short. */
gn_store_work_t *gn_store_work_create(gn_store_t *store,
				      const gn_store_change_t *change,
				      gn_store_done_t done, void *context);

/** Ends @p work, which was never begun. */
void gn_store_work_reject(gn_store_work_t *work, gn_code_t code);

/** Starts the call of @p work that is due, or ends it at its deadline. */
void gn_store_work_tick(gn_store_work_t *work);

#endif
