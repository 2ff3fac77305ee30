/**
 * @file ctl_print.h
 * @brief Plain tables and JSON on the command line's output.
 */
#ifndef GN_CTL_PRINT_H
#define GN_CTL_PRINT_H

#include <jansson.h>
#include <stdio.h>

/** A column: its title and the key of the JSON objects; ended by no title. */
typedef struct gn_ctl_column_s {
	const char *title;
	const char *key;
} gn_ctl_column_t;

/** Prints the objects of @p rows, an array, one a line under the titles. */
void gn_ctl_print_table(FILE *file, const gn_ctl_column_t *columns,
			const json_t *rows);

/** Prints one object, a column a line. */
void gn_ctl_print_record(FILE *file, const gn_ctl_column_t *columns,
			 const json_t *object);

/** Prints @p value as JSON with sorted keys and a line's end. */
void gn_ctl_print_json(FILE *file, const json_t *value);

/** Prints @p text with '?' in place of control characters. */
void gn_ctl_print_text(FILE *file, const char *text);

#endif
