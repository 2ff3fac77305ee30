/**
 * @file record_internal.h
 * @brief Declarations shared by the modules of the member record.
 */
#ifndef GN_MEMBER_RECORD_INTERNAL_H
#define GN_MEMBER_RECORD_INTERNAL_H

#include "member/record.h"
#include "platform/backoff.h"
#include "platform/watch.h"

/** Mutants: deliberate faults that the randomized tests must detect. */
typedef enum gn_record_mutant_e {
	GN_RECORD_MUTANT_NONE = 0,
	/** Acknowledges a revision that was not adopted. */
	GN_RECORD_MUTANT_ACK_EARLY,
	/** Lets an entry that has left join again. */
	GN_RECORD_MUTANT_RETURN,
	/** Removes other entries although their liveness keys exist. */
	GN_RECORD_MUTANT_REMOVE_LIVE,
	/** Writes the record whatever its revision. */
	GN_RECORD_MUTANT_IGNORE_REVISION,
	GN_RECORD_MUTANT_COUNT
} gn_record_mutant_t;

/** Watched keys at one revision of the platform's key-value service. */
typedef struct gn_record_view_s {
	gn_record_doc_t doc; /**< Empty if there is none. */
	uint64_t key_revision; /**< Revision of the record's key; 0 if none. */
	GHashTable *live; /**< Maps an incarnation to a gn_record_live_t. */
	/**
	 * Maps the incarnation of a member whose liveness key is gone to the
	 * record revision it had acknowledged.
	 */
	GHashTable *last_acked;
	bool is_known; /**< Whether the keys have been read at least once. */
} gn_record_view_t;

/** State of one of the two writes that are derived from the view. */
typedef struct gn_record_write_s {
	gn_kv_call_t call; /**< Call in progress, or 0. */
	/** Key revision that the view must have before the next write. */
	uint64_t min_key_revision;
	uint64_t due_us; /**< Earliest time of the next write. */
	bool is_scheduled; /**< Whether due_us is set and must be kept. */
	gn_backoff_t backoff;
} gn_record_write_t;

struct gn_record_s {
	gn_record_options_t options;
	gn_record_state_t state;
	gn_lease_t *lease;
	gn_kv_watch_t *watch;
	gn_record_view_t view;
	gn_record_doc_t adopted;
	gn_record_write_t membership; /**< Write of the record's key. */
	gn_record_write_t ack; /**< Write of this entry's liveness key. */
	unsigned change_count; /**< Counter that makes change IDs unique. */
	bool was_member_seen; /**< Whether a view had this entry as member. */
	bool was_key_seen; /**< Whether a view had this entry's key. */
	gn_record_mutant_t mutant;
};

/** Activates a mutant; for tests only. */
void gn_record_set_mutant(gn_record_t *record, gn_record_mutant_t mutant);

/* ======   View   ====== */

/** Applies the changes @p news from the watch to the view. */
void gn_record_view_update(gn_record_view_t *view, const gn_kv_update_t *news);

/** Returns the liveness key of @p incarnation, or NULL. */
const gn_record_live_t *gn_record_view_live(const gn_record_view_t *view,
					    uint64_t incarnation);

/**
 * Returns the highest record revision that @p incarnation is known to have
 * acknowledged.
 */
uint64_t gn_record_view_acked(const gn_record_view_t *view,
			      uint64_t incarnation);

/** Returns how many live entries attempt a write before @p incarnation. */
size_t gn_record_view_rank(const gn_record_view_t *view, uint64_t incarnation);

/* ======   Writes   ====== */

/**
 * Builds the document that should replace the one in the view.
 * @return whether its members differ from those in the view
 */
bool gn_record_build_next_doc(const gn_record_t *record, gn_record_doc_t *doc);

/** Schedules both writes for the current view. */
void gn_record_schedule_writes(gn_record_t *record);

/** Starts the writes that are due. */
void gn_record_start_writes(gn_record_t *record);

#endif
