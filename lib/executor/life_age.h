/**
 * @file life_age.h
 * @brief For how long a life of a worker has refused start calls for former
 *        lives.
 *
 * A worker refuses calls with a lower token than it has seen. So once the present
 * life has answered a call for its list that carried a later token than all start
 * calls for former lives, it carries out none of these any more. What they have
 * begun before is shown by the lists that follow.
 */
#ifndef GN_EXECUTOR_LIFE_AGE_H
#define GN_EXECUTOR_LIFE_AGE_H

#include <stdbool.h>
#include <stdint.h>

/** Zero-initialized before the first life. */
typedef struct gn_life_age_s {
	uint64_t
		former; /**< Start calls for former lives have no higher token. */
	/** Until then, a call of an earlier process with the token of the epoch may
	 * be carried out, so that only a later epoch is certain; 0 if none can. */
	uint64_t unknown_until_us;
	uint64_t first_us; /**< Time of the first list; 0 without one. */
	uint64_t epoch; /**< Epoch at the list that counts. */
	uint64_t since_us; /**< Time of the list that counts; 0 without one. */
} gn_life_age_t;

/**
 * Begins a life.
 * @param former highest token of start calls for former lives under the same ID;
 *        0 if it has another ID than the one before, or if none is known
 * @param unknown_until_us until then, this life may carry out a call of an
 *        earlier process of the executor, which is not counted in @p former; 0
 *        if there is none
 */
void gn_life_age_begin(gn_life_age_t *age, uint64_t former,
		       uint64_t unknown_until_us);

/**
 * Records a list of the present life, requested in this life.
 * @param token fencing token of the request
 * @param epoch epoch of the leader that answered last
 */
void gn_life_age_record_list(gn_life_age_t *age, uint64_t token, uint64_t epoch,
			     uint64_t now_us);

/** Returns the time since when the life refuses these calls, milliseconds;
 * UINT32_MAX if it may carry them out. */
uint32_t gn_life_age_get_ms(const gn_life_age_t *age, uint64_t epoch,
			    uint64_t now_us);

#endif
