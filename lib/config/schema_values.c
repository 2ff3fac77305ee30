/* Readers of single values and of arrays of values. */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "common/str.h"
#include "config/address.h"
#include "config/schema_internal.h"

/** Size of the list of an enum's names in bytes, including the terminator. */
#define MESSAGE_SIZE 120

/* ======   Single values   ====== */

gn_code_t gn_schema_unsigned(gn_schema_reader_t *reader, const char *path,
			     const gn_schema_field_t *field,
			     const gn_toml_table_t *table, void *target)
{
	gn_toml_kind_t kind = gn_toml_get_kind(table, field->key);
	int64_t value = field->default_value;

	if (kind != GN_TOML_NONE &&
	    !gn_toml_get_integer(table, field->key, &value))
		return gn_schema_fail_kind(reader, path, "an integer", kind);
	if (kind != GN_TOML_NONE && (value < field->min || value > field->max))
		return gn_schema_fail(reader, GN_ERR_RANGE, path,
				      "%lld is outside %lld..%lld",
				      (long long)value, (long long)field->min,
				      (long long)field->max);
	*(unsigned *)gn_schema_member(target, field->offset) = (unsigned)value;
	return GN_OK;
}

static gn_code_t read_number(gn_schema_reader_t *reader, const char *path,
			     const gn_schema_field_t *field,
			     const gn_toml_table_t *table, double *value)
{
	gn_toml_kind_t kind = gn_toml_get_kind(table, field->key);

	*value = (double)field->default_value;
	if (kind != GN_TOML_NONE &&
	    !gn_toml_get_number(table, field->key, value))
		return gn_schema_fail_kind(reader, path, "a number", kind);
	/* This form of the condition also rejects NaN. */
	if (!(*value >= (double)field->min && *value <= (double)field->max))
		return gn_schema_fail(
			reader, GN_ERR_RANGE, path, "%g is outside %lld..%lld",
			*value, (long long)field->min, (long long)field->max);
	return GN_OK;
}

gn_code_t gn_schema_number(gn_schema_reader_t *reader, const char *path,
			   const gn_schema_field_t *field,
			   const gn_toml_table_t *table, void *target)
{
	return read_number(reader, path, field, table,
			   gn_schema_member(target, field->offset));
}

gn_code_t gn_schema_rounded(gn_schema_reader_t *reader, const char *path,
			    const gn_schema_field_t *field,
			    const gn_toml_table_t *table, void *target)
{
	double value;
	gn_code_t code = read_number(reader, path, field, table, &value);

	if (!code)
		*(unsigned *)gn_schema_member(target, field->offset) =
			(unsigned)(value + 0.5);
	return code;
}

/** Copies a valid text to the reader's owner. */
static gn_code_t copy_text(gn_schema_reader_t *reader, const char *path,
			   gn_str_t text, const char **copied)
{
	*copied = talloc_strndup(reader->owner, text.data, text.len);
	return *copied ? GN_OK : gn_schema_fail_memory(reader, path);
}

static gn_code_t copy_name(gn_schema_reader_t *reader, const char *path,
			   gn_str_t text, const char **copied)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789._-";

	if (!text.len || text.len > GN_NAME_MAX)
		return gn_schema_fail(reader, GN_ERR_RANGE, path,
				      "length of %zu bytes is outside 1..%d",
				      text.len, GN_NAME_MAX);
	for (size_t i = 0; i < text.len; i++)
		if (!memchr(allowed, text.data[i], sizeof(allowed) - 1))
			return gn_schema_fail(
				reader, GN_ERR_INVALID, path,
				"may contain only letters, digits, "
				"'.', '_' and '-'");
	return copy_text(reader, path, text, copied);
}

static gn_code_t copy_address(gn_schema_reader_t *reader, const char *path,
			      gn_str_t text, const char **copied)
{
	char canonical[GN_ADDRESS_MAX + 1];
	struct sockaddr_storage address;

	if (gn_address_parse(text, &address))
		return gn_schema_fail(reader, GN_ERR_INVALID, path,
				      "expected IP:PORT with port 1..65535");
	gn_address_format(&address, canonical);
	return copy_text(reader, path, gn_str_from(canonical), copied);
}

/** Validates and copies a text. */
typedef gn_code_t (*copy_fn_t)(gn_schema_reader_t *reader, const char *path,
			       gn_str_t text, const char **copied);

static gn_code_t read_text(gn_schema_reader_t *reader, const char *path,
			   const gn_schema_field_t *field,
			   const gn_toml_table_t *table, void *target,
			   copy_fn_t copy_checked)
{
	gn_toml_kind_t kind = gn_toml_get_kind(table, field->key);
	gn_str_t text;

	if (kind == GN_TOML_NONE)
		return GN_OK;
	if (!gn_toml_get_string(table, field->key, &text))
		return gn_schema_fail_kind(reader, path, "a string", kind);
	return copy_checked(reader, path, text,
			    gn_schema_member(target, field->offset));
}

gn_code_t gn_schema_name(gn_schema_reader_t *reader, const char *path,
			 const gn_schema_field_t *field,
			 const gn_toml_table_t *table, void *target)
{
	return read_text(reader, path, field, table, target, copy_name);
}

gn_code_t gn_schema_address(gn_schema_reader_t *reader, const char *path,
			    const gn_schema_field_t *field,
			    const gn_toml_table_t *table, void *target)
{
	return read_text(reader, path, field, table, target, copy_address);
}

static gn_code_t fail_enum(gn_schema_reader_t *reader, const char *path,
			   const gn_schema_field_t *field)
{
	char names[MESSAGE_SIZE] = "";

	for (size_t i = 0; field->names[i]; i++) {
		size_t used = strlen(names);

		snprintf(names + used, sizeof(names) - used, "%s%s",
			 i ? ", " : "", field->names[i]);
	}
	return gn_schema_fail(reader, GN_ERR_INVALID, path,
			      "expected one of %s", names);
}

gn_code_t gn_schema_enum(gn_schema_reader_t *reader, const char *path,
			 const gn_schema_field_t *field,
			 const gn_toml_table_t *table, void *target)
{
	gn_toml_kind_t kind = gn_toml_get_kind(table, field->key);
	int *value = gn_schema_member(target, field->offset);
	gn_str_t text;

	*value = (int)field->default_value;
	if (kind == GN_TOML_NONE)
		return GN_OK;
	if (!gn_toml_get_string(table, field->key, &text))
		return gn_schema_fail_kind(reader, path, "a string", kind);
	for (int i = 0; field->names[i]; i++) {
		if (gn_str_equal(text, gn_str_from(field->names[i]))) {
			*value = i;
			return GN_OK;
		}
	}
	return fail_enum(reader, path, field);
}

/** Parses a time; rejects days that don't exist, such as February 30. */
static gn_code_t parse_utc(gn_str_t text, int64_t *seconds)
{
	char copy[sizeof("2026-01-31T06:00:00Z")];
	struct tm parts = { 0 };
	struct tm exact;
	const char *end;

	if (gn_str_copy(copy, sizeof(copy), text) ||
	    text.len != sizeof(copy) - 1)
		return GN_ERR_INVALID;
	end = strptime(copy, "%Y-%m-%dT%H:%M:%SZ", &parts);
	if (!end || *end)
		return GN_ERR_INVALID;
	exact = parts;
	*seconds = timegm(&exact);
	return exact.tm_mday == parts.tm_mday && exact.tm_sec == parts.tm_sec
		       ? GN_OK
		       : GN_ERR_INVALID;
}

gn_code_t gn_schema_utc(gn_schema_reader_t *reader, const char *path,
			const gn_schema_field_t *field,
			const gn_toml_table_t *table, void *target)
{
	gn_toml_kind_t kind = gn_toml_get_kind(table, field->key);
	gn_str_t text;

	if (kind == GN_TOML_NONE)
		return GN_OK;
	if (!gn_toml_get_string(table, field->key, &text))
		return gn_schema_fail_kind(reader, path, "a string", kind);
	if (parse_utc(text, gn_schema_member(target, field->offset)))
		return gn_schema_fail(reader, GN_ERR_INVALID, path,
				      "expected a UTC time such as "
				      "\"2026-01-31T06:00:00Z\"");
	return GN_OK;
}

/* ======   Arrays   ====== */

static gn_code_t read_texts(gn_schema_reader_t *reader, const char *path,
			    const gn_schema_field_t *field,
			    const gn_toml_table_t *table, void *target,
			    copy_fn_t copy_checked)
{
	gn_toml_kind_t kind = gn_toml_get_kind(table, field->key);
	size_t length = gn_toml_get_length(table, field->key);
	char element_path[GN_SCHEMA_PATH_SIZE];
	const char **texts;
	gn_code_t code;

	if (kind == GN_TOML_NONE)
		return GN_OK;
	if (kind != GN_TOML_ARRAY)
		return gn_schema_fail_kind(reader, path, "an array", kind);
	code = gn_schema_check_length(reader, path, field, length);
	if (code)
		return code;
	texts = talloc_zero_array(reader->owner, const char *, length);
	if (!texts)
		return gn_schema_fail_memory(reader, path);
	for (size_t i = 0; i < length; i++) {
		gn_str_t text;

		snprintf(element_path, sizeof(element_path), "%s[%zu]", path,
			 i + 1);
		if (!gn_toml_get_string_at(table, field->key, i, &text))
			return gn_schema_fail(reader, GN_ERR_INVALID,
					      element_path,
					      "expected a string");
		code = copy_checked(reader, element_path, text, &texts[i]);
		if (code)
			return code;
	}
	*(const char ***)gn_schema_member(target, field->offset) = texts;
	*(size_t *)gn_schema_member(target, field->count_offset) = length;
	return GN_OK;
}

gn_code_t gn_schema_names(gn_schema_reader_t *reader, const char *path,
			  const gn_schema_field_t *field,
			  const gn_toml_table_t *table, void *target)
{
	return read_texts(reader, path, field, table, target, copy_name);
}

gn_code_t gn_schema_addresses(gn_schema_reader_t *reader, const char *path,
			      const gn_schema_field_t *field,
			      const gn_toml_table_t *table, void *target)
{
	return read_texts(reader, path, field, table, target, copy_address);
}
