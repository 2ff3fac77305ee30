/**
 * @file feasibility.h
 * @brief Tells which jobs can still end in time with the capacity there is.
 *
 * A job whose longest chain of steps fits its deadline can be late
 * nevertheless, if the work ranked ahead of it takes all capacity until then.
 * If it is started all the same, it takes capacity from jobs that could be in
 * time, and an overload makes nearly all jobs late instead of a few. So such a
 * job goes behind those that fit.
 *
 * The capacity is the rate at which best-effort work was finished recently,
 * while more of it waited. It is lower than the processor time in use, since
 * tasks are throttled beside serving tasks and some work is done twice. Work is
 * counted by the estimates of the callers on both sides, so that a common error
 * in them cancels out.
 *
 * Late jobs must end too: one at a time, the one accepted first goes ahead.
 *
 * Load: for minutes, more best-effort work is submitted than the fleet can do
 * in time.
 */
#ifndef GN_SCHED_FEASIBILITY_H
#define GN_SCHED_FEASIBILITY_H

#include <stdbool.h>
#include <stdint.h>

/** Age from which a job that is not in time may go ahead of others. */
#define GN_FEASIBILITY_LATE_AGE_MS 10000
/** Minimum time between two such jobs. */
#define GN_FEASIBILITY_LATE_INTERVAL_MS 2000

/** Rate of finished work; zero-initialized. Work is in cores times time. */
typedef struct gn_feasibility_s {
	/** Smoothed rate, thousandths of a core. */
	double cpu_milli;
	/** Work finished since updated_us, thousandths of a core times ms. */
	double done;
	uint64_t started_us; /**< First update; 0 before it. */
	uint64_t updated_us;
	/** Last time at which a late job went ahead. */
	uint64_t late_promoted_us;
} gn_feasibility_t;

/** Counts a finished task of this work, thousandths of a core times ms. */
void gn_feasibility_count_done(gn_feasibility_t *state, double work);

/**
 * Updates the rate; call it several times a second.
 * @param is_short whether best-effort tasks wait for capacity
 * @param usable_milli CPU that best-effort tasks could use if none were
 *        throttled; the rate recovers to it while none wait
 */
void gn_feasibility_update(gn_feasibility_t *state, bool is_short,
			   double usable_milli, uint64_t now_us);

/**
 * Whether a job with @p work left ends by its deadline if @p ahead is done
 * before it, both in thousandths of a core times ms. A new leader takes each
 * job to fit until it knows the rate.
 */
bool gn_feasibility_check(const gn_feasibility_t *state, double ahead,
			  double work, uint64_t deadline_us, uint64_t now_us);

/** Whether the rate is known, which takes 3 s from the first update. */
bool gn_feasibility_is_known(const gn_feasibility_t *state, uint64_t now_us);

/** Whether a job that is not in time may go ahead now; see late_promoted_us. */
bool gn_feasibility_allows_late(const gn_feasibility_t *state,
				uint64_t accepted_us, uint64_t now_us);

#endif
