/**
 * @file wake_internal.h
 * @brief Wakes the control loop after a time that runs through suspension.
 *
 * tevent's own timers follow the wall clock, which can jump; this one is a
 * timerfd on CLOCK_BOOTTIME, watched by the loop.
 */
#ifndef GN_PLATFORM_WAKE_INTERNAL_H
#define GN_PLATFORM_WAKE_INTERNAL_H

#include <talloc.h>
#include <tevent.h>

#include "gypsumnotch.h"

typedef struct gn_wake_s gn_wake_t;

/** Called in the loop when the time is over. */
typedef void (*gn_wake_fn_t)(void *context);

/** Creates a stopped one; NULL if memory or descriptors are short. */
gn_wake_t *gn_wake_create(TALLOC_CTX *parent, struct tevent_context *loop,
			  gn_wake_fn_t wake, void *context);

/** Wakes once, @p delay_us from now; replaces an earlier wake. */
void gn_wake_set(gn_wake_t *wake, uint64_t delay_us);

/** Doesn't wake. */
void gn_wake_stop(gn_wake_t *wake);

#endif
