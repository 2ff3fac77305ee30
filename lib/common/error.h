/**
 * @file error.h
 * @brief Errors that carry the step and the peer at which they arose.
 */
#ifndef GN_COMMON_ERROR_H
#define GN_COMMON_ERROR_H

#include "gypsumnotch.h"

/** Longest detail text with its terminator, bytes. */
#define GN_ERROR_DETAIL_SIZE 160

/** An error; a zeroed one is GN_OK. */
typedef struct gn_error_s {
	gn_code_t code;
	const char *step; /**< static text: what was being done */
	char peer[GN_ADDRESS_MAX + 1]; /**< with whom; empty if nobody */
	char detail[GN_ERROR_DETAIL_SIZE];
} gn_error_t;

/** The stable name of @p code, such as "conflict". */
const char *gn_code_name(gn_code_t code);

/** The stable name of @p outcome: "done", "not-run" or "unknown". */
const char *gn_outcome_name(gn_outcome_t outcome);

/** The stable name of @p work_class: "quick", "batch" or "standing". */
const char *gn_class_name(gn_class_t work_class);

/**
 * Finds the class called @p name.
 * @return GN_OK, or GN_ERR_NOT_FOUND with @p work_class untouched.
 */
gn_code_t gn_class_parse(gn_str_t name, gn_class_t *work_class);

/**
 * Fills @p error (which may be NULL) and returns @p code.
 * @param step static text that names the step
 * @param peer the other side, or NULL
 */
gn_code_t gn_error_set(gn_error_t *error, gn_code_t code, const char *step,
		       const char *peer, const char *format, ...)
	__attribute__((format(printf, 5, 6)));

#endif
