/**
 * @file ctl_print.h
 * @brief Prints tables, records and JSON.
 */
#ifndef GN_CTL_PRINT_H
#define GN_CTL_PRINT_H

#include <jansson.h>
#include <stdio.h>

/** A column of a table; in an array the last one has a NULL title. */
typedef struct gn_ctl_column_s {
	const char *title;
	const char *key; /**< Key of the value in the JSON objects. */
} gn_ctl_column_t;

/** Prints the titles, then one line for each object of the array @p rows. */
void gn_ctl_print_table(FILE *file, const gn_ctl_column_t *columns,
			const json_t *rows);

/** Prints one object with one line per column. */
void gn_ctl_print_record(FILE *file, const gn_ctl_column_t *columns,
			 const json_t *object);

/** Prints @p value as JSON with sorted keys and a newline. */
void gn_ctl_print_json(FILE *file, const json_t *value);

/**
 * Prints @p text with '?' in place of control characters, which could
 * manipulate the operator's terminal.
 */
void gn_ctl_print_text(FILE *file, const char *text);

#endif
