/**
 * @file log.h
 * @brief Log lines in syslog's style on standard error.
 *
 * A line reads: <priority>time program[pid]: step=... peer=... text
 */
#ifndef GN_COMMON_LOG_H
#define GN_COMMON_LOG_H

#include <syslog.h>

#include "common/error.h"

/**
 * Names the program and sets the least urgent level that is written.
 * @param program static text
 * @param level LOG_ERR to LOG_DEBUG of <syslog.h>
 */
void gn_log_init(const char *program, int level);

/**
 * Writes one line.
 * @param level LOG_ERR, LOG_WARNING, LOG_NOTICE, LOG_INFO or LOG_DEBUG
 * @param step what was being done
 * @param peer the other side, or NULL
 */
void gn_log(int level, const char *step, const char *peer, const char *format,
	    ...) __attribute__((format(printf, 4, 5)));

/** Writes @p error with its step, peer and code. */
void gn_log_error(int level, const gn_error_t *error);

#endif
