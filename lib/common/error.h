/**
 * @file error.h
 * @brief Errors with the step and the peer that they occurred at.
 */
#ifndef GN_COMMON_ERROR_H
#define GN_COMMON_ERROR_H

#include "gypsumnotch.h"

/** Size of the detail text in bytes, including the terminator. */
#define GN_ERROR_DETAIL_SIZE 160

/** An error; all zero means GN_OK. */
typedef struct gn_error_s {
	gn_code_t code;
	const char *step; /**< Name of the failed step; static text. */
	/** Name or address of the peer or file; empty if there is none. */
	char peer[GN_ADDRESS_MAX + 1];
	char detail[GN_ERROR_DETAIL_SIZE];
} gn_error_t;

/** Returns the stable name of @p code, such as "conflict". */
const char *gn_code_name(gn_code_t code);

/** Returns the stable name of @p outcome, such as "not-run". */
const char *gn_outcome_name(gn_outcome_t outcome);

/** Returns the stable name of @p work_class, such as "batch". */
const char *gn_class_name(gn_class_t work_class);

/**
 * Converts a name to its class.
 * @return GN_OK, or GN_ERR_NOT_FOUND with @p work_class untouched.
 */
gn_code_t gn_class_parse(gn_str_t name, gn_class_t *work_class);

/**
 * Sets all members of an error; a detail that is too long is truncated.
 * @param error error to set, or NULL
 * @param step name of the failed step; static text
 * @param peer name or address of the peer or file, or NULL
 * @return @p code
 */
gn_code_t gn_error_set(gn_error_t *error, gn_code_t code, const char *step,
		       const char *peer, const char *format, ...)
	__attribute__((format(printf, 5, 6)));

#endif
