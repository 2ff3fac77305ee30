/**
 * @file occurrence.h
 * @brief Which occurrences of a job are open.
 *
 * The tasks of an open occurrence are in memory. An occurrence is opened once it
 * is due and there is room, and closed once it is done, so that a job of many
 * occurrences needs memory for few of them.
 */
#ifndef GN_OCCURRENCE_OCCURRENCE_H
#define GN_OCCURRENCE_OCCURRENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Tasks of open occurrences of one job with repeats; a larger occurrence is
 * open alone. */
#define GN_OCCURRENCE_JOB_TASKS_MAX 2000
/** Tasks of open occurrences of all unfinished jobs. */
#define GN_OCCURRENCE_TASKS_MAX 150000

typedef enum gn_occurrence_state_e {
	GN_OCCURRENCE_WAITING = 0, /**< Not due, or without room. */
	GN_OCCURRENCE_OPEN,
	GN_OCCURRENCE_DONE
} gn_occurrence_state_t;

/** The occurrences of a job. */
typedef struct gn_occurrences_s {
	uint32_t count;
	uint32_t open;
	uint32_t done;
	uint32_t first_waiting; /**< No occurrence below it waits. */
	uint8_t *states; /**< Two bits per occurrence. */
} gn_occurrences_t;

/** Initializes @p count waiting occurrences. */
void gn_occurrences_init(gn_occurrences_t *all, uint32_t count);
void gn_occurrences_clear(gn_occurrences_t *all);

gn_occurrence_state_t gn_occurrences_get(const gn_occurrences_t *all,
					 uint32_t number);
void gn_occurrences_set(gn_occurrences_t *all, uint32_t number,
			gn_occurrence_state_t state);

/** Returns the number of the first one that waits; the count if none does. */
uint32_t gn_occurrences_first_waiting(gn_occurrences_t *all);

/** What decides on one more occurrence. */
typedef struct gn_occurrence_room_s {
	size_t width; /**< Tasks of an occurrence of the job. */
	size_t job_tasks; /**< Open tasks of the job. */
	size_t all_tasks; /**< Open tasks of all unfinished jobs. */
} gn_occurrence_room_t;

/** Whether a due occurrence may be opened. */
bool gn_occurrence_may_open(const gn_occurrence_room_t *room);

/**
 * Whether a job may be accepted.
 * @param width tasks that are opened at once; 0 if the job starts later
 */
bool gn_occurrence_may_accept(size_t width, size_t all_tasks);

#endif
