/**
 * @file straggler.h
 * @brief Finds runs that stand still, or would be done sooner elsewhere.
 *
 * Answers the load of steps that wait for their last task while some workers
 * are slow or have stopped to work without saying so. A run is judged by its
 * own progress, since declared times are rough and workers' health is not to
 * be believed.
 */
#ifndef GN_SCHED_STRAGGLER_H
#define GN_SCHED_STRAGGLER_H

#include <stdint.h>

/** The progress of one run; a zeroed one has just begun. */
typedef struct gn_progress_s {
	uint64_t since_us; /**< when it was first looked at; 0: never */
	uint64_t moved_us; /**< when its progress last changed */
	uint32_t first; /**< percent when it was first looked at */
	uint32_t percent;
} gn_progress_t;

/** What its progress says of a run. */
typedef enum gn_progress_verdict_e {
	GN_PROGRESS_FINE = 0,
	GN_PROGRESS_STILL, /**< no progress for long */
	GN_PROGRESS_SLOW /**< sooner done if begun anew elsewhere */
} gn_progress_verdict_t;

/**
 * Takes a reading and judges.
 * @param estimate_us time that the run would take elsewhere, all over
 */
gn_progress_verdict_t gn_progress_judge(gn_progress_t *progress,
					uint32_t percent, uint64_t estimate_us,
					uint64_t now_us);

/** The whole time that the run will take at its pace so far; 0: unknown. */
uint64_t gn_progress_total_us(const gn_progress_t *progress, uint64_t now_us);

#endif
