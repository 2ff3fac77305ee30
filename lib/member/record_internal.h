/**
 * @file record_internal.h
 * @brief What the modules of the member record share.
 */
#ifndef GN_MEMBER_RECORD_INTERNAL_H
#define GN_MEMBER_RECORD_INTERNAL_H

#include "member/record.h"
#include "platform/backoff.h"
#include "platform/watch.h"

/** Planted faults, which the walks of the tests must find. */
typedef enum gn_record_mutant_e {
	GN_RECORD_MUTANT_NONE = 0,
	/** a revision is acknowledged that was not adopted */
	GN_RECORD_MUTANT_ACK_EARLY,
	/** an entry that left joins again */
	GN_RECORD_MUTANT_RETURN,
	/** another entry is removed though its key is there */
	GN_RECORD_MUTANT_REMOVE_LIVE,
	/** the record is written without regard to its revision */
	GN_RECORD_MUTANT_IGNORE_REVISION,
	GN_RECORD_MUTANT_COUNT
} gn_record_mutant_t;

/** The keys of the prefix as of one revision of the service. */
typedef struct gn_record_view_s {
	gn_record_doc_t doc; /**< empty if there is none */
	uint64_t key_revision; /**< of the record's key, or 0 */
	GHashTable *live; /**< incarnation to gn_record_live_t */
	/** what those acknowledged whose key is gone; incarnation to revision */
	GHashTable *last_acked;
	bool is_known; /**< whether there was a first view */
} gn_record_view_t;

/** A write that is derived from the view. */
typedef struct gn_record_write_s {
	gn_kv_call_t call; /**< in progress, or 0 */
	uint64_t wait_revision; /**< the key's in the view must be so high */
	uint64_t due_us; /**< not before */
	bool is_scheduled; /**< due_us stands until then */
	gn_backoff_t backoff;
} gn_record_write_t;

struct gn_record_s {
	gn_record_options_t options;
	gn_record_standing_t standing;
	gn_lease_t *lease;
	gn_kv_watch_t *watch;
	gn_record_view_t view;
	gn_record_doc_t adopted;
	gn_record_write_t membership; /**< of the record */
	gn_record_write_t ack; /**< of the entry's own key */
	unsigned writes; /**< makes change ids unique */
	bool was_member; /**< was seen in the record */
	bool was_live; /**< its key was seen */
	gn_record_mutant_t mutant;
};

/** Plants a fault; for tests. */
void gn_record_set_mutant(gn_record_t *record, gn_record_mutant_t mutant);

/* ======   View   ====== */

/** Brings the view up to date with @p news. */
void gn_record_view_update(gn_record_view_t *view, const gn_kv_news_t *news);

/** The live key of @p incarnation, or NULL. */
const gn_record_live_t *gn_record_view_live(const gn_record_view_t *view,
					    uint64_t incarnation);

/** What @p incarnation has acknowledged, as far as was seen. */
uint64_t gn_record_view_acked(const gn_record_view_t *view,
			      uint64_t incarnation);

/** How many live entries have their turn before @p incarnation. */
size_t gn_record_view_rank(const gn_record_view_t *view, uint64_t incarnation);

/* ======   Writes   ====== */

/**
 * Derives the document that should follow the view.
 * @return whether its members differ from the view's
 */
bool gn_record_propose(const gn_record_t *record, gn_record_doc_t *doc);

/** Plans the writes that the view asks for. */
void gn_record_plan_writes(gn_record_t *record);

/** Starts the writes that are due. */
void gn_record_start_writes(gn_record_t *record);

#endif
