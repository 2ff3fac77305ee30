#include "common/json_bound.h"

#include <errno.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define REPLACEMENT "false"
/** Longest number that is converted; longer ones are out of range or need more
 * digits than a double has. */
#define NUMBER_LEN_MAX 64

/* Copies a document, with replacements. */
typedef struct copy_s {
	gn_str_t in;
	size_t pos;
	char *out;
	size_t len;
	size_t replaced;
} copy_t;

static void put(copy_t *copy, const char *data, size_t len)
{
	memcpy(copy->out + copy->len, data, len);
	copy->len += len;
}

static void replace(copy_t *copy)
{
	put(copy, REPLACEMENT, strlen(REPLACEMENT));
	copy->replaced++;
}

/* Returns the position after the string that begins at @p pos. */
static size_t skip_string(gn_str_t text, size_t pos)
{
	for (pos++; pos < text.len && text.data[pos] != '"'; pos++)
		if (text.data[pos] == '\\')
			pos++;
	return pos < text.len ? pos + 1 : text.len;
}

/* Returns the position after the array or object that begins at @p pos. */
static size_t skip_nested(gn_str_t text, size_t pos)
{
	size_t depth = 0;

	while (pos < text.len) {
		char c = text.data[pos];

		if (c == '"') {
			pos = skip_string(text, pos);
			continue;
		}
		pos++;
		if (c == '[' || c == '{')
			depth++;
		else if ((c == ']' || c == '}') && !--depth)
			break;
	}
	return pos;
}

static size_t skip_number(gn_str_t text, size_t pos)
{
	while (pos < text.len && text.data[pos] &&
	       strchr("+-.0123456789eE", text.data[pos]))
		pos++;
	return pos;
}

static bool is_in_range(const char *text, size_t len)
{
	char number[NUMBER_LEN_MAX + 1];

	if (len > NUMBER_LEN_MAX)
		return false;
	memcpy(number, text, len);
	number[len] = '\0';
	errno = 0;
	if (strpbrk(number, ".eE"))
		return isfinite(strtod(number, NULL));
	strtoll(number, NULL, 10);
	return !errno;
}

static void copy_number(copy_t *copy)
{
	size_t end = skip_number(copy->in, copy->pos);

	if (is_in_range(copy->in.data + copy->pos, end - copy->pos))
		put(copy, copy->in.data + copy->pos, end - copy->pos);
	else
		replace(copy);
	copy->pos = end;
}

static void copy_string(copy_t *copy)
{
	size_t end = skip_string(copy->in, copy->pos);

	put(copy, copy->in.data + copy->pos, end - copy->pos);
	copy->pos = end;
}

static void copy_all(copy_t *copy)
{
	size_t depth = 0;

	while (copy->pos < copy->in.len) {
		char c = copy->in.data[copy->pos];

		if (c == '"') {
			copy_string(copy);
			continue;
		}
		if (c == '-' || (c >= '0' && c <= '9')) {
			copy_number(copy);
			continue;
		}
		if ((c == '[' || c == '{') && depth == GN_JSON_DEPTH_MAX) {
			copy->pos = skip_nested(copy->in, copy->pos);
			replace(copy);
			continue;
		}
		if (c == '[' || c == '{')
			depth++;
		else if ((c == ']' || c == '}') && depth)
			depth--;
		put(copy, &c, 1);
		copy->pos++;
	}
}

static bool is_out_of_bounds(const json_error_t *error)
{
	enum json_error_code code = json_error_code(error);

	return code == json_error_numeric_overflow ||
	       code == json_error_stack_overflow;
}

json_t *gn_json_parse_bounded(gn_str_t text, size_t *replaced,
			      json_error_t *error)
{
	json_error_t unused;
	json_t *json;
	copy_t copy = { .in = text };

	if (!error)
		error = &unused;
	if (replaced)
		*replaced = 0;
	json = json_loadb(text.data, text.len, 0, error);
	if (json || !is_out_of_bounds(error))
		return json;
	/* The shortest values that are replaced have two bytes. */
	copy.out = malloc(3 * text.len + strlen(REPLACEMENT));
	if (!copy.out)
		return NULL;
	copy_all(&copy);
	json = json_loadb(copy.out, copy.len, 0, error);
	free(copy.out);
	if (json && replaced)
		*replaced = copy.replaced;
	return json;
}
