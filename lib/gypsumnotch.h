/**
 * @file gypsumnotch.h
 * @brief Types and limits shared by all modules: outcomes, classes, errors.
 *
 * Durations and times are in microseconds (suffix _us) or milliseconds
 * (suffix _ms). Sizes state their unit and parameters their bounds.
 */
#ifndef GYPSUMNOTCH_H
#define GYPSUMNOTCH_H

#include <stddef.h>
#include <stdint.h>

/* ======   Version   ====== */

#define GN_VERSION "0.1.0"
/** Protocol version of the messages between the system's processes. */
#define GN_WIRE_VERSION 1

/* ======   Bounds   ====== */

/** Maximum length of a name, such as of a worker or data centre, in bytes. */
#define GN_NAME_MAX 63
/** Maximum length of an idempotency key, in bytes. */
#define GN_KEY_MAX 128
/** Maximum size of a request or response body, in bytes. */
#define GN_BODY_MAX (1024 * 1024)
/** Longest deadline of a latency-critical request, in milliseconds. */
#define GN_DEADLINE_MAX_MS 60000
/** Deadline of a request that specifies none, in milliseconds. */
#define GN_DEADLINE_DEFAULT_MS 2000
/** Maximum length of an address "IPv4:port" or "[IPv6]:port", in bytes. */
#define GN_ADDRESS_MAX 63

#define GN_US_PER_MS 1000
#define GN_US_PER_S 1000000

/* ======   Strings   ====== */

/** A borrowed string with its length; it need not be NUL-terminated. */
typedef struct gn_str_s {
	const char *data;
	size_t len; /**< Length in bytes. */
} gn_str_t;

/* ======   Errors   ====== */

/** Result codes; gn_code_name() returns their names. */
typedef enum gn_code_e {
	GN_OK = 0,
	GN_ERR_MEMORY, /**< An allocation failed. */
	GN_ERR_INVALID, /**< An argument or a document is malformed. */
	GN_ERR_RANGE, /**< A value is outside its documented bounds. */
	GN_ERR_NOT_FOUND, /**< The key, worker, job or such doesn't exist. */
	GN_ERR_CONFLICT, /**< A compare-and-swap found another revision. */
	GN_ERR_UNKNOWN, /**< No response; the operation may have run. */
	GN_ERR_UNAVAILABLE, /**< The peer is unreachable or refused. */
	GN_ERR_TIMEOUT, /**< The deadline passed. */
	GN_ERR_TRUNCATED, /**< A response ended before its declared length. */
	GN_ERR_STALE, /**< The session, epoch or revision is outdated. */
	GN_ERR_CAPACITY, /**< A capacity limit is reached. */
	GN_ERR_RATE, /**< A rate limit or quota is exhausted. */
	GN_ERR_SYSTEM, /**< A system call failed. */
	GN_CODE_COUNT
} gn_code_t;

/* ======   Workload classes   ====== */

/** The class of a request, job or task. */
typedef enum gn_class_e {
	GN_CLASS_QUICK = 0, /**< Latency-critical request; the caller waits. */
	GN_CLASS_BATCH, /**< Runs once to completion. */
	GN_CLASS_STANDING, /**< Long-running; ends only when it is cancelled. */
	GN_CLASS_COUNT
} gn_class_t;

/** The outcome of a request, as reported to its caller. */
typedef enum gn_outcome_e {
	GN_OUTCOME_DONE = 0, /**< The request ran; its response is complete. */
	GN_OUTCOME_NOT_RUN, /**< The request certainly did not run. */
	GN_OUTCOME_UNKNOWN, /**< The request may have run. */
	GN_OUTCOME_COUNT
} gn_outcome_t;

#endif
