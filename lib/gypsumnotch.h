/**
 * @file gypsumnotch.h
 * @brief The public types of gypsumnotch: outcomes, classes, errors, bounds.
 *
 * Every size states its unit, every time is in microseconds (suffix _us) or
 * milliseconds (suffix _ms), every parameter names its bounds.
 */
#ifndef GYPSUMNOTCH_H
#define GYPSUMNOTCH_H

#include <stddef.h>
#include <stdint.h>

/* ======   Version   ====== */

#define GN_VERSION "0.1.0"
/** Version of the messages between the system's own processes. */
#define GN_WIRE_VERSION 1

/* ======   Bounds   ====== */

/** Longest name of a worker, service, team, data centre, rack; bytes. */
#define GN_NAME_MAX 63
/** Longest idempotency key, bytes. */
#define GN_KEY_MAX 128
/** Longest request or answer body, bytes. */
#define GN_BODY_MAX (1024 * 1024)
/** Longest deadline of a latency-critical request, milliseconds. */
#define GN_DEADLINE_MAX_MS 60000
/** Deadline of a request that names none, milliseconds. */
#define GN_DEADLINE_DEFAULT_MS 2000
/** Longest textual address, "255.255.255.255:65535" or "[v6]:port". */
#define GN_ADDRESS_MAX 63

#define GN_US_PER_MS 1000
#define GN_US_PER_S 1000000

/* ======   Strings   ====== */

/** A length-counted string; not terminated, not owned. */
typedef struct gn_str_s {
	const char *data;
	size_t len; /**< bytes */
} gn_str_t;

/* ======   Errors   ====== */

/** What went wrong. Names: gn_code_name(). */
typedef enum gn_code_e {
	GN_OK = 0,
	GN_ERR_MEMORY, /**< an allocation failed */
	GN_ERR_INVALID, /**< an argument or a document is malformed */
	GN_ERR_RANGE, /**< a value lies outside its documented bounds */
	GN_ERR_NOT_FOUND, /**< no such key, worker, job */
	GN_ERR_CONFLICT, /**< a compare-and-swap lost */
	GN_ERR_UNKNOWN, /**< the answer was lost, the effect is unknown */
	GN_ERR_UNAVAILABLE, /**< the peer can't be reached or refused */
	GN_ERR_TIMEOUT, /**< the deadline passed */
	GN_ERR_TRUNCATED, /**< an answer ended before its declared length */
	GN_ERR_STALE, /**< an older session, epoch or revision */
	GN_ERR_CAPACITY, /**< no room within the stated capacity */
	GN_ERR_RATE, /**< a rate or quota is used up */
	GN_ERR_SYSTEM, /**< a system call failed */
	GN_CODE_COUNT
} gn_code_t;

/* ======   Work   ====== */

/** The class of a piece of work. */
typedef enum gn_class_e {
	GN_CLASS_QUICK = 0, /**< latency-critical request, a caller waits */
	GN_CLASS_BATCH, /**< runs once to its end */
	GN_CLASS_STANDING, /**< runs until cancelled */
	GN_CLASS_COUNT
} gn_class_t;

/** What became of a request, as its caller is told. */
typedef enum gn_outcome_e {
	GN_OUTCOME_DONE = 0, /**< ran; the whole answer is there */
	GN_OUTCOME_NOT_RUN, /**< proved not to have run */
	GN_OUTCOME_UNKNOWN, /**< may have run */
	GN_OUTCOME_COUNT
} gn_outcome_t;

#endif
