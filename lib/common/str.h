/**
 * @file str.h
 * @brief Functions on strings with an explicit length.
 */
#ifndef GN_COMMON_STR_H
#define GN_COMMON_STR_H

#include <stdbool.h>

#include "gypsumnotch.h"

/** Makes a gn_str_t of a string literal. */
#define GN_STR(literal) ((gn_str_t){ (literal), sizeof(literal) - 1 })

/** Makes a gn_str_t of a terminated string; it is empty if @p text is NULL. */
gn_str_t gn_str_from(const char *text);

/** Whether @p a and @p b consist of the same bytes. */
bool gn_str_equal(gn_str_t a, gn_str_t b);

/**
 * Copies a string into a buffer and terminates it.
 * @param size size of @p to in bytes, at least 1
 * @return GN_OK, or GN_ERR_RANGE if @p from doesn't fit; @p to is then empty
 */
gn_code_t gn_str_copy(char *to, size_t size, gn_str_t from);

/**
 * Parses an unsigned decimal number.
 * @param max maximum value accepted
 * @param value set on success only
 * @return GN_OK, GN_ERR_INVALID (not a number) or GN_ERR_RANGE (above @p max)
 */
gn_code_t gn_str_parse_u64(gn_str_t text, uint64_t max, uint64_t *value);

/** Returns the XXH64 hash of @p text; it is the same on all machines. */
uint64_t gn_str_hash(gn_str_t text, uint64_t seed);

#endif
