/**
 * @file evacuation.h
 * @brief The data centres that take no new work, as the operators request.
 *
 * The operators evacuate a data centre before maintenance or for a fault of its
 * power or network: from a bound after their request on, no task may start
 * there, and what runs there ends by itself. A request is a key in the
 * platform's key-value service. This module builds the set of evacuated data
 * centres from updates of a watch and tells whether it is recent enough to act
 * on. It does no I/O.
 *
 * The bound is divided between those who act on the set. A leader that has not
 * had the set confirmed for GN_EVACUATION_MAX_AGE_MS orders no start, and an
 * executor carries out no start that was ordered earlier than
 * gn_evacuation_start_max_age_ms() before. Together they keep the bound also if
 * the leader loses the service and the executor loses the leader.
 */
#ifndef GN_EVACUATION_EVACUATION_H
#define GN_EVACUATION_EVACUATION_H

#include <talloc.h>

#include "platform/watch.h"

/** Maximum age of the set for a leader that orders starts. */
#define GN_EVACUATION_MAX_AGE_MS 2000
/**
 * Part of the bound for the calls to the key-value service and to the worker
 * that are under way.
 */
#define GN_EVACUATION_CALLS_MS 500

typedef struct gn_evacuations_s gn_evacuations_t;

/** An evacuated data centre. */
typedef struct gn_evacuation_s {
	const char *data_centre;
	uint64_t revision; /**< Revision of the request. */
	/** What is wrong with the value of the request, static; else NULL. */
	const char *fault;
} gn_evacuation_t;

/** Reports a key below the prefix that names no data centre and is ignored. */
typedef void (*gn_evacuations_ignore_fn_t)(void *arg, gn_str_t key,
					   const char *why);

/**
 * Creates an empty set that is not known yet; NULL if out of memory.
 * @param prefix prefix of the keys, which end with the name of a data centre
 */
gn_evacuations_t *gn_evacuations_create(TALLOC_CTX *parent, const char *prefix);

/**
 * Applies an update. Keys without the prefix are skipped, and an update older
 * than the set is ignored. A data centre is evacuated whatever the value of its
 * key is, since a request that is misread may not be missed.
 * @param ignore called for each key that names no data centre; may be NULL
 * @return whether the set has changed
 */
bool gn_evacuations_update(gn_evacuations_t *set, const gn_kv_update_t *update,
			   gn_evacuations_ignore_fn_t ignore, void *arg);

/** Records that the key-value service has confirmed the set at this time. */
void gn_evacuations_confirm(gn_evacuations_t *set, uint64_t confirmed_us);

/** Whether the set has been read, and was confirmed recently enough to order
 * starts. */
bool gn_evacuations_may_start(const gn_evacuations_t *set, uint64_t now_us);

/** Whether @p data_centre is evacuated; NULL is not. */
bool gn_evacuations_contain(const gn_evacuations_t *set,
			    const char *data_centre);

/** Returns the number of evacuated data centres. */
size_t gn_evacuations_count(const gn_evacuations_t *set);
/** Returns one of them, sorted by name; valid until the next update. */
const gn_evacuation_t *gn_evacuations_get(const gn_evacuations_t *set,
					  size_t index);
/** Returns the revision of the last update; 0: none yet. */
uint64_t gn_evacuations_revision(const gn_evacuations_t *set);
/** Returns the time since the last confirmation; UINT64_MAX: none yet. */
uint64_t gn_evacuations_age_us(const gn_evacuations_t *set, uint64_t now_us);

/**
 * Returns the maximum age of the leader's knowledge at which an executor carries
 * out a start.
 * @param bound_ms time after a request by which no start may begin; 0: there
 *        are no evacuations
 * @param otherwise_ms the maximum age without evacuations
 */
unsigned gn_evacuation_start_max_age_ms(unsigned bound_ms,
					unsigned otherwise_ms);

#endif
