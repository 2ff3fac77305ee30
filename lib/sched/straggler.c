#include "sched/straggler.h"

#include "gypsumnotch.h"

/** No progress for this long: the run stands still. */
#define STILL_US (900 * GN_US_PER_MS)
/** A run's pace is known after this long. */
#define LOOK_US (400 * GN_US_PER_MS)
/** Beginning anew costs about this, and must gain by this factor. */
#define RESTART_US (300 * GN_US_PER_MS)
#define GAIN 1.5
#define WHOLE_PERCENT 100

uint64_t gn_progress_total_us(const gn_progress_t *progress, uint64_t now_us)
{
	uint32_t made = progress->percent - progress->first;

	if (progress->percent <= progress->first)
		return 0;
	return (now_us - progress->since_us) * WHOLE_PERCENT / made;
}

static void take(gn_progress_t *progress, uint32_t percent, uint64_t now_us)
{
	if (!progress->since_us) {
		progress->since_us = now_us;
		progress->moved_us = now_us;
		progress->first = percent;
		progress->percent = percent;
	}
	if (percent == progress->percent)
		return;
	progress->percent = percent;
	progress->moved_us = now_us;
}

gn_progress_verdict_t gn_progress_judge(gn_progress_t *progress,
					uint32_t percent, uint64_t estimate_us,
					uint64_t now_us)
{
	uint64_t total_us;
	uint64_t left_us;

	take(progress, percent, now_us);
	if (percent >= WHOLE_PERCENT)
		return GN_PROGRESS_FINE;
	if (now_us - progress->moved_us >= STILL_US)
		return GN_PROGRESS_STILL;
	total_us = gn_progress_total_us(progress, now_us);
	if (!total_us || now_us - progress->since_us < LOOK_US)
		return GN_PROGRESS_FINE;
	left_us = total_us * (WHOLE_PERCENT - percent) / WHOLE_PERCENT;
	if ((double)left_us > GAIN * (double)estimate_us + RESTART_US)
		return GN_PROGRESS_SLOW;
	return GN_PROGRESS_FINE;
}
