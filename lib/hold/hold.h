/**
 * @file hold.h
 * @brief How long a claim must be kept whose worker is silent or gone.
 *
 * A claim is released once its run is certainly over and cannot begin again. The
 * end of the longest lease shows the former only. A start call without an answer
 * may be carried out later, and a worker that has restarted under its ID takes
 * it for one of its own: calls name the ID only, and the new life has seen no
 * fencing token and no stop. Nobody can keep it from that before the first call
 * of the new life. So a claim with such a call is kept until none can be
 * carried out any more and the run that the last one could begin is over.
 *
 * A worker that is heard again decides it sooner: the present life, called with
 * its own fencing token, lists without the run, or it has another ID. One that has
 * restarted under its ID may do so again, and the next life knows nothing of
 * the stop, so its claims wait for the last call.
 */
#ifndef GN_HOLD_HOLD_H
#define GN_HOLD_HOLD_H

#include <stdbool.h>
#include <stdint.h>

/** Limits of all claims. */
typedef struct gn_hold_limits_s {
	/** Longest time after which a call without an answer is carried out. */
	uint64_t late_us;
	/** Longest lease of a worker, with the drift of its clock. */
	uint64_t lease_max_us;
} gn_hold_limits_t;

/** What is known of a claim and its worker. */
typedef struct gn_hold_claim_s {
	bool start_sent; /**< A start may have been ordered. */
	bool settled; /**< No start call can be under way. */
	/** No start call was sent later. */
	uint64_t last_call_us;
	/** The leases that the executor has extended have expired by then. */
	uint64_t lease_expiry_us;
} gn_hold_claim_t;

/** Whether a start call for the claim may still be carried out at @p now_us. */
bool gn_hold_may_start(const gn_hold_limits_t *limits,
		       const gn_hold_claim_t *claim, uint64_t now_us);

/** Returns the time from which the claim may be released. */
uint64_t gn_hold_until_us(const gn_hold_limits_t *limits,
			  const gn_hold_claim_t *claim);

#endif
