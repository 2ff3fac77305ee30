/**
 * @file str.h
 * @brief Length-counted strings.
 */
#ifndef GN_COMMON_STR_H
#define GN_COMMON_STR_H

#include <stdbool.h>

#include "gypsumnotch.h"

/** A gn_str_t over a string literal. */
#define GN_STR(literal) ((gn_str_t){ (literal), sizeof(literal) - 1 })

/** A gn_str_t over the terminated string @p text; NULL gives the empty one. */
gn_str_t gn_str_from(const char *text);

/** Whether @p a and @p b hold the same bytes. */
bool gn_str_equal(gn_str_t a, gn_str_t b);

/**
 * Copies @p from into @p to, terminated.
 * @return GN_OK, or GN_ERR_RANGE if it doesn't fit; @p to is then empty.
 */
gn_code_t gn_str_copy(char *to, size_t size, gn_str_t from);

/**
 * Parses a decimal number without sign.
 * @return GN_OK, GN_ERR_INVALID (no number) or GN_ERR_RANGE (over @p max).
 */
gn_code_t gn_str_parse_u64(gn_str_t text, uint64_t max, uint64_t *value);

/** A 64-bit hash of @p text (xxHash) under @p seed; equal everywhere. */
uint64_t gn_str_hash(gn_str_t text, uint64_t seed);

#endif
