#include "ctl/ctl_print.h"

#include <stdbool.h>
#include <string.h>

/** Maximum size of a printed number, including the terminator, bytes. */
#define NUMBER_SIZE 32
/** Number of blanks between columns. */
#define COLUMN_GAP 2

static bool is_control(char c)
{
	return (unsigned char)c < ' ' || c == '\x7f';
}

void gn_ctl_print_text(FILE *file, const char *text)
{
	for (; *text; text++)
		fputc(is_control(*text) ? '?' : *text, file);
}

/** Returns the text of a cell; numbers are formatted into @p number. */
static const char *format_cell(const json_t *object, const char *key,
			       char *number)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_string(value))
		return *json_string_value(value) ? json_string_value(value)
						 : "-";
	if (json_is_boolean(value))
		return json_is_true(value) ? "yes" : "no";
	if (!json_is_number(value))
		return "-";
	if (json_is_integer(value))
		snprintf(number, NUMBER_SIZE, "%lld",
			 (long long)json_integer_value(value));
	else
		snprintf(number, NUMBER_SIZE, "%g", json_real_value(value));
	return number;
}

/** Returns the width of UTF-8 text: one terminal column per code point. */
static size_t get_width(const char *text)
{
	size_t width = 0;

	for (; *text; text++)
		width += ((unsigned char)*text & 0xc0) != 0x80;
	return width;
}

static size_t get_column_width(const gn_ctl_column_t *column,
			       const json_t *rows)
{
	size_t width = strlen(column->title);
	char number[NUMBER_SIZE];

	for (size_t i = 0; i < json_array_size(rows); i++) {
		size_t cell_width = get_width(format_cell(
			json_array_get(rows, i), column->key, number));

		if (cell_width > width)
			width = cell_width;
	}
	return width;
}

/** Prints a cell, padded with blanks unless it is the last of its line. */
static void print_cell(FILE *file, const char *text, size_t width, bool last)
{
	gn_ctl_print_text(file, text);
	if (last)
		fputc('\n', file);
	else
		fprintf(file, "%*s",
			(int)(width - get_width(text) + COLUMN_GAP), "");
}

void gn_ctl_print_table(FILE *file, const gn_ctl_column_t *columns,
			const json_t *rows)
{
	enum { COLUMNS_MAX = 16 };
	size_t widths[COLUMNS_MAX] = { 0 };
	char number[NUMBER_SIZE];
	size_t count = 0;

	for (; columns[count].title && count < COLUMNS_MAX; count++)
		widths[count] = get_column_width(&columns[count], rows);
	for (size_t c = 0; c < count; c++)
		print_cell(file, columns[c].title, widths[c], c + 1 == count);
	for (size_t r = 0; r < json_array_size(rows); r++) {
		const json_t *row = json_array_get(rows, r);

		for (size_t c = 0; c < count; c++)
			print_cell(file,
				   format_cell(row, columns[c].key, number),
				   widths[c], c + 1 == count);
	}
}

void gn_ctl_print_record(FILE *file, const gn_ctl_column_t *columns,
			 const json_t *object)
{
	char number[NUMBER_SIZE];
	size_t width = 0;

	for (const gn_ctl_column_t *c = columns; c->title; c++)
		if (strlen(c->title) > width)
			width = strlen(c->title);
	for (const gn_ctl_column_t *c = columns; c->title; c++) {
		print_cell(file, c->title, width, false);
		print_cell(file, format_cell(object, c->key, number), 0, true);
	}
}

void gn_ctl_print_json(FILE *file, const json_t *value)
{
	json_dumpf(value, file, JSON_INDENT(2) | JSON_SORT_KEYS);
	fputc('\n', file);
}
