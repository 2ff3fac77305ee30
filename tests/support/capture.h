/**
 * @file capture.h
 * @brief Log lines of the process under test, read from standard output.
 */
#ifndef GN_TESTS_SUPPORT_CAPTURE_H
#define GN_TESTS_SUPPORT_CAPTURE_H

#include <jansson.h>
#include <stddef.h>
#include <stdio.h>

/** Standard output while lines are captured. */
typedef struct capture_s {
	FILE *file;
	int output; /**< Standard output of before. */
} capture_t;

void begin_capture(capture_t *capture);
/** Returns the lines of @p event as an array. */
json_t *end_capture(capture_t *capture, const char *event);
/** Returns the integer @p member of a line, which has to be there. */
json_int_t read_number(const json_t *lines, size_t index, const char *member);
#endif
