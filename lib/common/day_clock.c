#include "common/day_clock.h"

#include <stdlib.h>

static bool is_step(int64_t from_us, int64_t to_us)
{
	return llabs(to_us - from_us) >= GN_DAY_CLOCK_STEP_US;
}

void gn_day_clock_init(gn_day_clock_t *day, uint64_t boot_us, uint64_t wall_us)
{
	const gn_day_clock_t first = { .offset_us =
					       (int64_t)(wall_us - boot_us),
				       .since_us = boot_us };

	*day = first;
}

static bool is_settled(const gn_day_clock_t *day, uint64_t boot_us)
{
	uint64_t trusted_us = day->new_since_us - day->since_us;

	if (trusted_us > GN_DAY_CLOCK_SETTLE_US)
		trusted_us = GN_DAY_CLOCK_SETTLE_US;
	return boot_us - day->new_since_us >= trusted_us;
}

void gn_day_clock_update(gn_day_clock_t *day, uint64_t boot_us,
			 uint64_t wall_us)
{
	int64_t offset_us = (int64_t)(wall_us - boot_us);

	if (!is_step(day->offset_us, offset_us)) {
		day->offset_us = offset_us;
		day->is_stepped = false;
		return;
	}
	if (!day->is_stepped || is_step(day->new_offset_us, offset_us))
		day->new_since_us = boot_us;
	day->is_stepped = true;
	day->new_offset_us = offset_us;
	if (!is_settled(day, boot_us))
		return;
	day->offset_us = offset_us;
	day->since_us = day->new_since_us;
	day->is_stepped = false;
}
