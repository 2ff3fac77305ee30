#include "move/move.h"

#include <math.h>

/** Time for the stop, the list that shows it, the stored claim and the start. */
#define MOVE_MS 150
/**
 * Part of the estimate that counts as left at least. A task that has run for
 * longer than estimated may run for as long again.
 */
#define LEFT_SHARE_MIN 0.25
/** The remaining time must shrink by this factor, as estimates are rough. */
#define GAIN_FACTOR 1.25

bool gn_move_pays(const gn_move_task_t *task)
{
	double left_ms = fmax(task->estimate_ms - task->done_ms,
			      LEFT_SHARE_MIN * task->estimate_ms);
	double moved_ms;

	if (task->other_speed <= task->speed)
		return false;
	moved_ms = MOVE_MS + task->restore_ms + left_ms / task->other_speed;
	return left_ms >= GAIN_FACTOR * moved_ms * task->speed;
}
