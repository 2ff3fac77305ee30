/**
 * @file header.h
 * @brief The HTTP headers that the system reads and writes.
 */
#ifndef GN_HTTP_HEADER_H
#define GN_HTTP_HEADER_H

/** Headers of a caller's or an operator's request. */
typedef enum gn_header_e {
	GN_HEADER_CLASS = 0, /**< Gypsumnotch-Class */
	GN_HEADER_DEADLINE, /**< Gypsumnotch-Deadline-Ms */
	GN_HEADER_TEAM, /**< Gypsumnotch-Team */
	GN_HEADER_SERVICE, /**< Gypsumnotch-Service */
	GN_HEADER_REPEATABLE, /**< Gypsumnotch-Repeatable: yes or no */
	GN_HEADER_KIND, /**< Gypsumnotch-Kind */
	GN_HEADER_PRIORITY, /**< Gypsumnotch-Priority */
	GN_HEADER_CORES, /**< Gypsumnotch-Cores */
	GN_HEADER_MEMORY, /**< Gypsumnotch-Memory-Mb */
	GN_HEADER_ACCELERATORS, /**< Gypsumnotch-Accelerators */
	GN_HEADER_RUN, /**< Gypsumnotch-Run-Ms */
	GN_HEADER_CHECKPOINT, /**< Gypsumnotch-Checkpoint-Ms */
	GN_HEADER_IF_REVISION, /**< If-Revision */
	GN_HEADER_CHANGE_ID, /**< Change-Id */
	GN_HEADER_KEY, /**< Idempotency-Key */
	GN_HEADER_HOST, /**< Host; in received requests only */
	GN_HEADER_COUNT
} gn_header_t;

/** Returns the name of @p header as sent. */
const char *gn_header_name(gn_header_t header);

/* Headers of answers. */
#define GN_HEADER_OUTCOME "Gypsumnotch-Outcome"
#define GN_HEADER_REASON "Gypsumnotch-Reason"
#define GN_HEADER_RETRY_AFTER "Retry-After"

#endif
