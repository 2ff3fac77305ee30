/**
 * @file json_bound.h
 * @brief Parses JSON documents whose entries come from several writers.
 *
 * jansson refuses a whole document because of one number that is out of range or
 * one value that is nested too deeply. In a list of entries of several writers,
 * that would cost all of them. Here such a value is replaced, so that only the
 * entry that contains it is malformed.
 */
#ifndef GN_COMMON_JSON_BOUND_H
#define GN_COMMON_JSON_BOUND_H

#include <jansson.h>

#include "gypsumnotch.h"

/** Maximum nesting of the values that are kept. */
#define GN_JSON_DEPTH_MAX 32

/**
 * Parses a document. Numbers that neither a 64-bit integer nor a double holds, and
 * arrays and objects below GN_JSON_DEPTH_MAX others, become `false`, which is no
 * valid number, text, array or object.
 * @param replaced receives the number of values that were replaced; may be NULL
 * @param error receives what is wrong with a document that is no JSON; may be
 *        NULL
 * @return the document, to be freed with json_decref(), or NULL
 */
json_t *gn_json_parse_bounded(gn_str_t text, size_t *replaced,
			      json_error_t *error);

#endif
