/**
 * @file locality.h
 * @brief Decides whether a task waits for a worker near its data.
 *
 * A task takes a multiple of its run time on a worker that is not on the rack of
 * its data, and a gang on more than one rack. If all near workers are full and
 * a far one is free, the task either starts far now, or waits for the end of a
 * run near its data. It waits only if that ends it earlier by a margin, counting
 * the tasks that wait ahead of it and how uncertain the expected ends are, and
 * only if its job stays in time.
 *
 * The decision is made again at each pass. A wait has an end that is known when
 * it begins; after it, the task does not wait again before it was started.
 *
 * Load: run times are known within 20 %, 3 % of the runs take seven times as
 * long; a run takes 1.5 to 3 times as long far from its data; a rack may be
 * wanted by more tasks than it can run.
 */
#ifndef GN_LOCALITY_LOCALITY_H
#define GN_LOCALITY_LOCALITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "sched/place.h"

/** A worker slower than the far one by this factor is not waited for. */
#define GN_LOCALITY_SLOW_FACTOR 1.5

/** Limit on the places of a rack that are looked at, the earliest ones. */
#define GN_LOCALITY_PLACES_MAX 64
/** Limit on the tasks that may wait ahead of another one. */
#define GN_LOCALITY_AHEAD_MAX 256

/** Expected time until something happens. */
typedef struct gn_locality_time_s {
	double ms;
	double deviation_ms;
} gn_locality_time_t;

/** A run on a near worker. */
typedef struct gn_locality_run_s {
	gn_resource_vector_t resources; /**< What its end frees. */
	gn_locality_time_t end;
	bool same_step; /**< Counts for the limit of the step per worker. */
} gn_locality_run_t;

/** A near worker that may take the task once it has room. */
typedef struct gn_locality_worker_s {
	gn_resource_vector_t capacity;
	gn_resource_vector_t used;
	uint32_t same_step; /**< Tasks of the step there. */
} gn_locality_worker_t;

/** What a place is needed for. */
typedef struct gn_locality_need_s {
	gn_resource_vector_t resources;
	uint32_t per_worker; /**< Limit on tasks of the step; 0 if unlimited. */
} gn_locality_need_t;

/** A task, or a gang as a whole. */
typedef struct gn_locality_task_s {
	double near_ms; /**< Expected run time near; 0 if unknown. */
	double far_ms;
	double spread; /**< Mean deviation of the run time; 0.1 is 10 %. */
	/** Time to the deadline less the remaining chain, with a near run;
	 * negative if the job is late. */
	double slack_ms;
	/** Its end is likely to be the end of the step. */
	bool is_last;
	uint64_t until_us; /**< End of the wait in progress; 0 if none. */
} gn_locality_task_t;

/** Places of a rack in the order in which waiting tasks take them. Each is free
 * again after the run of the task that takes it. */
typedef struct gn_locality_queue_s {
	gn_locality_time_t places[GN_LOCALITY_PLACES_MAX];
	size_t count;
	double run_ms;
	double spread;
} gn_locality_queue_t;

/** Why a task is placed far or waits. */
typedef enum gn_locality_reason_e {
	GN_LOCALITY_PAYS = 0, /**< It waits; the others place it far. */
	GN_LOCALITY_UNKNOWN_TIME, /**< Its run time is unknown. */
	GN_LOCALITY_NO_PLACE, /**< No near worker is expected to have room. */
	GN_LOCALITY_LATE, /**< The job would be late with the wait. */
	GN_LOCALITY_NO_GAIN, /**< The far run is expected to end first. */
	GN_LOCALITY_EXPIRED, /**< The end of the wait has come. */
	GN_LOCALITY_REASON_COUNT
} gn_locality_reason_t;

/** A decision. */
typedef struct gn_locality_decision_s {
	gn_locality_reason_t reason;
	uint64_t until_us; /**< End of the wait; 0 if it does not wait. */
	double wait_ms; /**< Expected wait, with the margin for uncertainty. */
	double gain_ms; /**< Time that a near run saves, with the same. */
} gn_locality_decision_t;

/**
 * Returns when a run is expected to end. One that has lasted for much longer
 * than usual is taken for a straggler.
 * @param run_ms usual run time
 * @param spread its mean deviation; 0.1 is 10 %
 */
gn_locality_time_t gn_locality_expect_end(double age_ms, double run_ms,
					  double spread);

/**
 * Finds the times at which a worker has places for further tasks: those free
 * now, then those that its runs leave.
 * @param runs sorted by this function
 * @param places receives at most @p max times in ascending order
 * @return number of places
 */
size_t gn_locality_find_places(const gn_locality_worker_t *worker,
			       const gn_locality_need_t *need,
			       gn_locality_run_t *runs, size_t run_count,
			       gn_locality_time_t *places, size_t max);

/** Sorts the places of several workers by time. */
void gn_locality_sort_places(gn_locality_time_t *places, size_t count);

/**
 * Begins a queue for tasks of one step.
 * @param places places of all near workers, sorted by this function
 * @param ahead number of tasks that wait ahead of the first one
 * @param run_ms usual run time near, and @p spread its mean deviation
 */
void gn_locality_begin_queue(gn_locality_queue_t *queue,
			     gn_locality_time_t *places, size_t count,
			     size_t ahead, double run_ms, double spread);

/** Returns the next place of the queue, or NULL if it has none. */
const gn_locality_time_t *
gn_locality_next_place(const gn_locality_queue_t *queue);

/** Takes the next place of the queue for a task that waits for it. */
void gn_locality_take_place(gn_locality_queue_t *queue);

/**
 * Decides about a task for which no near worker has room.
 * @param place expected time of its place near; for a gang, of its last member;
 *        NULL if none is expected
 */
gn_locality_decision_t gn_locality_decide(const gn_locality_task_t *task,
					  const gn_locality_time_t *place,
					  uint64_t now_us);

/** Returns a text for the log. */
const char *gn_locality_reason_name(gn_locality_reason_t reason);

#endif
