/**
 * @file gone.h
 * @brief Whether the process of a worker is gone, from calls that are refused.
 *
 * A connection is refused at once where no process listens, while a busy or
 * frozen one lets it time out.
 */
#ifndef GN_EXECUTOR_GONE_H
#define GN_EXECUTOR_GONE_H

#include <stdbool.h>
#include <stdint.h>

/** Calls refused in a row. */
typedef struct gn_gone_s {
	uint64_t first_refused_us; /**< 0 if the last call was not refused. */
	bool gone;
} gn_gone_t;

/** Forgets what was known, as for a new process. */
void gn_gone_reset(gn_gone_t *gone);

/**
 * Records that a call was refused.
 * @return whether this shows, for the first time, that the process is gone
 */
bool gn_gone_record_refusal(gn_gone_t *gone, uint64_t now_us);

/**
 * Records a response.
 * @return whether the process was taken for gone
 */
bool gn_gone_record_response(gn_gone_t *gone);

#endif
