/**
 * @file wake_timer.h
 * @brief Timer of the control loop that also runs while the host is suspended.
 *
 * The timers of tevent follow the wall clock, which can jump. This one is a
 * timerfd on CLOCK_BOOTTIME that the loop watches.
 */
#ifndef GN_COMMON_WAKE_TIMER_H
#define GN_COMMON_WAKE_TIMER_H

#include <talloc.h>
#include <tevent.h>

#include "gypsumnotch.h"

typedef struct gn_wake_timer_s gn_wake_timer_t;

/** Called from the loop when the timer expires. */
typedef void (*gn_wake_timer_fn_t)(void *context);

/**
 * Creates a stopped timer.
 * @return NULL if out of memory or file descriptors
 */
gn_wake_timer_t *gn_wake_timer_create(TALLOC_CTX *parent,
				      struct tevent_context *loop,
				      gn_wake_timer_fn_t callback,
				      void *context);

/** Starts or restarts the timer to expire once, after @p delay_us. */
void gn_wake_timer_start(gn_wake_timer_t *wake, uint64_t delay_us);

/** Stops the timer; its callback will not be called. */
void gn_wake_timer_stop(gn_wake_timer_t *wake);

#endif
