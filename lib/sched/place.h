/**
 * @file place.h
 * @brief Chooses a worker for a task.
 *
 * Answers the load of many small tasks and few large ones on workers of which
 * some are slow or fail what they start. Among the workers with room, the one
 * with the largest share of its processors free is taken, counting what fills
 * as well, so that load and the loss by one crash are spread; a slow worker
 * counts as fuller than it is, in proportion.
 *
 * Tasks that serve suffer from tasks that fill beside them, and these are then
 * paced down, by pairs of images: so what serves is packed by image, and what
 * fills goes where it is expected to be fastest.
 */
#ifndef GN_SCHED_PLACE_H
#define GN_SCHED_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Room on a worker, or what a task takes of it. */
typedef struct gn_room_s {
	uint32_t cpu_milli; /**< thousandths of a core */
	uint32_t memory_mb;
	uint32_t accelerators;
} gn_room_t;

/** What the runs on a worker tell of it. */
typedef struct gn_health_s {
	uint32_t failures; /**< in a row, of different tasks */
	uint64_t backoff_until_us; /**< gets no tasks before */
	uint32_t backoffs; /**< in a row */
	double slowness; /**< run times over estimates, smoothed; 0: unknown */
} gn_health_t;

/** A worker as far as placing goes. */
typedef struct gn_place_worker_s {
	gn_room_t capacity;
	gn_room_t used;
	uint32_t same_step; /**< tasks of the step that are claimed there */
	uint32_t serving; /**< tasks with a latency target there */
	uint32_t same_image; /**< of these, with the image of the task */
	uint32_t best_effort; /**< tasks that fill there */
	uint32_t best_effort_milli; /**< processors that these could use */
	double slowness; /**< 1: as usual */
	/** Share of its speed that the task would have there, if it fills. */
	double best_effort_speed;
	/** Share of what serving tasks there can bear that it would use up. */
	double harm;
	bool eligible; /**< live, of the service, with the label */
	bool near; /**< on the data's rack, or there is none */
} gn_place_worker_t;

/** A task as far as placing goes. */
typedef struct gn_place_task_s {
	gn_room_t room;
	uint32_t per_worker; /**< most tasks of the step there; 0: no limit */
	uint32_t
		best_effort_milli; /**< processors that it could use, if it fills */
	bool best_effort;
	double min_speed; /**< if it fills: rather waits than be slower */
	bool serving;
	double far_factor; /**< times longer off the data's rack */
} gn_place_task_t;

/** No worker has room. */
#define GN_PLACE_NONE SIZE_MAX

/** Whether @p used and @p more fit into @p capacity. */
bool gn_room_fits(const gn_room_t *capacity, const gn_room_t *used,
		  const gn_room_t *more);
void gn_room_add(gn_room_t *room, const gn_room_t *more);
void gn_room_subtract(gn_room_t *room, const gn_room_t *less);

/** The index of the worker for @p task, or GN_PLACE_NONE. */
size_t gn_place(const gn_place_task_t *task, const gn_place_worker_t *workers,
		size_t count);

/* ======   Health   ====== */

/** A run has ended as failed. */
void gn_health_fail(gn_health_t *health, uint64_t now_us);

/** A run has ended as done. @p estimate_us 0: unknown */
void gn_health_succeed(gn_health_t *health, uint64_t took_us,
		       uint64_t estimate_us);

/** Whether the worker may be given tasks. */
bool gn_health_is_good(const gn_health_t *health, uint64_t now_us);

#endif
