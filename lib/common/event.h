/**
 * @file event.h
 * @brief Structured log lines on standard output: one JSON object each.
 *
 * One line for each decision that touches a request or changes what the
 * process believes. Lines are bounded in rate and dropped, never waited for,
 * when the reader is slow; the next line that is written tells how many were
 * dropped before it. Control thread only.
 */
#ifndef GN_COMMON_EVENT_H
#define GN_COMMON_EVENT_H

/**
 * Names the process in its lines and sets standard output to not block.
 * @param process static or longer-lived text
 */
void gn_event_init(const char *process);

/**
 * Writes one line: the time, the process, @p event, and the members that
 * @p format packs as jansson's json_pack() does, such as "{s:s, s:I}".
 */
void gn_event(const char *event, const char *format, ...);

#endif
