/**
 * @file record.h
 * @brief This entry's place in the member record.
 *
 * The record and a key of each entry, bound to its lease, are watched as one
 * prefix, so that every view holds for one revision of the service. An entry
 * creates its key once and never again. By a view, a key without a member asks
 * to be in, and a member without its key has lapsed for good: one write by
 * compare-and-swap follows all of them. The live entries take turns to make
 * it, so that many that start at once don't contend. Acknowledgements go into
 * the entry's own key. All writes are derived anew from the latest view, so
 * that one whose answer was lost needs no memory of its own.
 *
 * An incarnation that left never returns: once its lease is lost or the record
 * no longer has it, this entry is gone; its owner drops all that it holds and
 * creates another one with a new incarnation.
 *
 * Pure state machine: no I/O but through gn_kv_t.
 */
#ifndef GN_MEMBER_RECORD_H
#define GN_MEMBER_RECORD_H

#include <glib.h>

#include "common/clock.h"
#include "member/lease.h"
#include "member/record_doc.h"
#include "member/record_live.h"

/** Prefix of all keys of the record. */
#define GN_RECORD_PREFIX "members/"
/** The key of the record. */
#define GN_RECORD_KEY GN_RECORD_PREFIX "record"
/** Prefix of the key that shows an entry is alive; then its incarnation. */
#define GN_RECORD_LIVE_PREFIX GN_RECORD_PREFIX "live/"

/** Where this entry stands. */
typedef enum gn_record_standing_e {
	GN_RECORD_JOINING = 0,
	GN_RECORD_MEMBER,
	GN_RECORD_LEAVING,
	GN_RECORD_GONE /**< for good */
} gn_record_standing_t;

/**
 * Adopts a new revision of the record for this entry's decisions; it is
 * acknowledged only afterwards.
 */
typedef void (*gn_record_adopt_t)(void *context, const gn_record_doc_t *doc);

/** Who joins; what is pointed to must outlive the record. */
typedef struct gn_record_options_s {
	gn_kv_t *kv;
	const gn_clock_t *clock;
	GRand *rand;
	const char *name; /**< 1..GN_NAME_MAX bytes */
	const char *address; /**< 1..GN_ADDRESS_MAX bytes */
	uint64_t incarnation; /**< random, not 0, new with each process */
	uint32_t lease_ttl_ms; /**< GN_LEASE_TTL_MIN_MS..GN_LEASE_TTL_MAX_MS */
	gn_record_adopt_t on_adopt; /**< may be NULL */
	gn_lease_renewed_t on_renewed; /**< may be NULL */
	void *context; /**< of both */
} gn_record_options_t;

typedef struct gn_record_s gn_record_t;

/** Creates one that joins with the first ticks; NULL: memory or bounds. */
gn_record_t *gn_record_create(TALLOC_CTX *parent,
			      const gn_record_options_t *options);

/** Frees without leaving: the lease lapses. */
void gn_record_free(gn_record_t *record);

/* ======   Commands   ====== */

/** Starts what is due; to be called some times a second. */
void gn_record_tick(gn_record_t *record);

/** Ends the lease; when the service has done so, this entry is gone. */
void gn_record_leave(gn_record_t *record);

/* ======   Queries   ====== */

gn_record_standing_t gn_record_standing(const gn_record_t *record);

/** The adopted record; NULL before the first. */
const gn_record_doc_t *gn_record_adopted(const gn_record_t *record);

/**
 * What @p incarnation had acknowledged by the latest view; 0: not known,
 * which is always safe.
 */
uint64_t gn_record_acked(const gn_record_t *record, uint64_t incarnation);

#endif
