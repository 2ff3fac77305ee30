/**
 * @file event.h
 * @brief Structured log on standard output: one JSON object per line.
 *
 * An event is logged for each decision about a request and for each change of
 * the process's view of the system. Events are rate-limited. If the reader is
 * slow they are dropped, so that logging never blocks; the next line that is
 * written has the number of events dropped before it. Only the control thread
 * may use this module.
 */
#ifndef GN_COMMON_EVENT_H
#define GN_COMMON_EVENT_H

/**
 * Sets the process name of all events and makes standard output non-blocking.
 * @param process text that outlives the last event
 */
void gn_event_init(const char *process);

/**
 * Logs an event with the time and the process name.
 * @param event name of the event
 * @param format further members, in the format of jansson's json_pack(), such
 *        as "{s:s, s:I}"
 */
void gn_event(const char *event, const char *format, ...);

#endif
