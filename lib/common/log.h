/**
 * @file log.h
 * @brief Text log on standard error, with syslog priorities.
 *
 * Format of a line: <priority>time program[pid]: step=... peer=... text
 */
#ifndef GN_COMMON_LOG_H
#define GN_COMMON_LOG_H

#include <syslog.h>

#include "common/error.h"

/**
 * Sets the program name and the log level.
 * @param program text that outlives the last line
 * @param level LOG_ERR to LOG_DEBUG; less urgent lines are not written
 */
void gn_log_init(const char *program, int level);

/**
 * Logs one line.
 * @param level LOG_ERR, LOG_WARNING, LOG_NOTICE, LOG_INFO or LOG_DEBUG
 * @param step name of the step that the line is about
 * @param peer name or address of the peer, or NULL
 */
void gn_log(int level, const char *step, const char *peer, const char *format,
	    ...) __attribute__((format(printf, 4, 5)));

/** Logs @p error with its step, peer and code. */
void gn_log_error(int level, const gn_error_t *error);

#endif
