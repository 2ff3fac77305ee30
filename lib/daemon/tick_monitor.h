/**
 * @file tick_monitor.h
 * @brief Measures how late the ticks of a daemon are, and steps of the time of
 * day between them.
 *
 * A late tick means that deadlines, leases and watches were not served in time.
 * If the loop handled other events meanwhile, the process was not paused, and the
 * timer did not wake it in time.
 */
#ifndef GN_DAEMON_TICK_MONITOR_H
#define GN_DAEMON_TICK_MONITOR_H

#include <stdbool.h>
#include <stdint.h>

/** Delay of a tick, and step of the time of day, that are worth a log line. */
#define GN_TICK_LATE_US 250000
#define GN_CLOCK_STEP_US 250000

/** State between two ticks; zero it before the first use. */
typedef struct gn_tick_monitor_s {
	bool has_tick; /**< There was a tick. */
	uint64_t due_us; /**< When the next tick is due. */
	/** Time of day less the boot clock at the last tick. */
	int64_t offset_us;
	uint64_t rounds; /**< Rounds of the loop since the last tick. */
} gn_tick_monitor_t;

/** What a tick has shown. */
typedef struct gn_tick_reading_s {
	uint64_t late_us; /**< By the boot clock; 0 if the tick was in time. */
	/** Step of the time of day since the last tick; negative: set back. */
	int64_t step_us;
	uint64_t rounds; /**< Rounds of the loop since the last tick. */
} gn_tick_reading_t;

/** Records a round of the event loop. */
void gn_tick_monitor_count_round(gn_tick_monitor_t *monitor);

/**
 * Records a tick.
 * @param boot_us the boot clock
 * @param wall_us the time of day
 */
gn_tick_reading_t gn_tick_monitor_record(gn_tick_monitor_t *monitor,
					 uint64_t boot_us, uint64_t wall_us);

/** Records that the next tick is due at @p due_us on the boot clock. */
void gn_tick_monitor_expect(gn_tick_monitor_t *monitor, uint64_t due_us);

/** Whether the tick was late enough for a log line. */
bool gn_tick_is_late(const gn_tick_reading_t *reading);

/** Whether the time of day has stepped enough for a log line. */
bool gn_tick_has_step(const gn_tick_reading_t *reading);

#endif
