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
	GHashTable *live; /**< set of incarnations that have their key */
	bool is_known; /**< whether there was a first view */
} gn_record_view_t;

struct gn_record_s {
	gn_record_options_t options;
	gn_record_standing_t standing;
	gn_lease_t *lease;
	gn_kv_watch_t *watch;
	gn_record_view_t view;
	gn_record_doc_t adopted;
	gn_kv_call_t call; /**< a write in progress, or 0 */
	unsigned writes; /**< makes change ids unique */
	uint64_t wait_key_revision; /**< the view must have come so far */
	uint64_t due_us; /**< of the next write */
	bool is_scheduled; /**< due_us stands until then */
	gn_backoff_t backoff;
	bool was_member; /**< was seen in the record */
	bool has_tried; /**< a write that joins was sent */
	uint64_t tried_revision; /**< the record's revision before it */
	gn_record_mutant_t mutant;
};

/** Plants a fault; for tests. */
void gn_record_set_mutant(gn_record_t *record, gn_record_mutant_t mutant);

/** Brings the view up to date with @p news. */
void gn_record_view_update(gn_record_view_t *view, const gn_kv_news_t *news);

/** Whether @p member has lapsed by the view. */
bool gn_record_view_has_lapsed(const gn_record_view_t *view,
			       const gn_record_member_t *member);

/**
 * Derives the document that should follow the view.
 * @return whether it differs from the view's
 */
bool gn_record_propose(const gn_record_t *record, gn_record_doc_t *doc);

#endif
