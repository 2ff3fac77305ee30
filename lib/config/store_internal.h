/**
 * @file store_internal.h
 * @brief Declarations shared by the source files of the store.
 */
#ifndef GN_CONFIG_STORE_INTERNAL_H
#define GN_CONFIG_STORE_INTERNAL_H

#include "config/store.h"
#include "platform/backoff.h"
#include "platform/watch.h"

/** Mutants: deliberate faults that the randomized tests must detect. */
typedef enum gn_store_mutant_e {
	GN_STORE_MUTANT_NONE = 0,
	/** A write without response is repeated on the current document. */
	GN_STORE_MUTANT_BLIND_REWRITE,
	/** An older document replaces a newer one. */
	GN_STORE_MUTANT_ADOPT_OLDER,
	/** A change whose response was lost is reported as accepted. */
	GN_STORE_MUTANT_ACCEPT_EARLY,
	/** A change whose response was lost is reported as not accepted. */
	GN_STORE_MUTANT_DENY_EARLY,
	/** A concurrent change of the same part is overwritten. */
	GN_STORE_MUTANT_REBASE_ALWAYS,
	GN_STORE_MUTANT_COUNT
} gn_store_mutant_t;

/** The next step of a change. */
typedef enum gn_store_step_e {
	GN_STORE_READ = 0, /**< Reads the document to change. */
	GN_STORE_WRITE, /**< Writes the new document. */
	GN_STORE_READ_BACK, /**< Reads back whether a write took effect. */
} gn_store_step_t;

/** A queued change or one in progress. */
typedef struct gn_store_work_s {
	gn_store_t *store;
	gn_store_change_t change;
	gn_store_done_t done;
	void *context;
	gn_store_step_t step;
	gn_kv_call_t call; /**< Call in progress, or 0. */
	uint64_t due_us; /**< Time of the next call. */
	uint64_t deadline_us;
	gn_backoff_t backoff;
	gn_config_doc_t *base; /**< Document to change; NULL before a read. */
	uint64_t base_key_revision;
	uint64_t part_revision; /**< Revision of the part at the first read. */
	bool has_part_revision;
	gn_config_doc_t *proposal;
	char *value; /**< Encoded proposal, to be freed with free(). */
	bool may_be_applied; /**< A write without response may take effect. */
} gn_store_work_t;

struct gn_store_s {
	gn_store_options_t options;
	gn_kv_watch_t *watch;
	gn_config_doc_t *current;
	GQueue queue; /**< gn_store_work_t; the head is in progress. */
	GQueue rejected; /**< gn_store_work_t whose rejection is unreported. */
	gn_store_mutant_t mutant;
};

/** Activates a mutant; for tests only. */
void gn_store_set_mutant(gn_store_t *store, gn_store_mutant_t mutant);

/** Adopts a copy of @p doc if it is newer than the current document. */
void gn_store_adopt(gn_store_t *store, const gn_config_doc_t *doc);

/** Creates the state of a change; returns NULL if out of memory. */
gn_store_work_t *gn_store_work_create(gn_store_t *store,
				      const gn_store_change_t *change,
				      gn_store_done_t done, void *context);

/** Reports that @p work was rejected before it began, and frees it. */
void gn_store_work_reject(gn_store_work_t *work, gn_code_t code);

/** Starts the next call if it is due, or ends @p work at its deadline. */
void gn_store_work_tick(gn_store_work_t *work);

#endif
