#include "daemon/tick_monitor.h"

#include <stdlib.h>

void gn_tick_monitor_count_round(gn_tick_monitor_t *monitor)
{
	monitor->rounds++;
}

gn_tick_reading_t gn_tick_monitor_record(gn_tick_monitor_t *monitor,
					 uint64_t boot_us, uint64_t wall_us)
{
	int64_t offset_us = (int64_t)(wall_us - boot_us);
	gn_tick_reading_t reading = { .rounds = monitor->rounds };

	if (monitor->has_tick) {
		if (boot_us > monitor->due_us)
			reading.late_us = boot_us - monitor->due_us;
		reading.step_us = offset_us - monitor->offset_us;
	}
	monitor->has_tick = true;
	monitor->offset_us = offset_us;
	monitor->rounds = 0;
	return reading;
}

void gn_tick_monitor_expect(gn_tick_monitor_t *monitor, uint64_t due_us)
{
	monitor->due_us = due_us;
}

bool gn_tick_is_late(const gn_tick_reading_t *reading)
{
	return reading->late_us >= GN_TICK_LATE_US;
}

bool gn_tick_has_step(const gn_tick_reading_t *reading)
{
	return llabs(reading->step_us) >= GN_CLOCK_STEP_US;
}
