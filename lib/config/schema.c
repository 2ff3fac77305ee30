#include "config/schema.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "common/str.h"
#include "config/address.h"

/** Longest text of one message about a key with its terminator, bytes. */
#define MESSAGE_SIZE 120

gn_code_t gn_schema_fail(gn_schema_reader_t *reader, gn_code_t code,
			 const char *path, const char *format, ...)
{
	char message[MESSAGE_SIZE];
	va_list args;

	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	return gn_error_set(reader->error, code, reader->step, reader->peer,
			    "%s: %s", path, message);
}

static gn_code_t fail_memory(gn_schema_reader_t *reader, const char *path)
{
	return gn_schema_fail(reader, GN_ERR_MEMORY, path, "out of memory");
}

static gn_code_t fail_kind(gn_schema_reader_t *reader, const char *path,
			   const char *expected, gn_toml_kind_t kind)
{
	return gn_schema_fail(reader, GN_ERR_INVALID, path,
			      "expected %s, got %s", expected,
			      gn_toml_kind_name(kind));
}

static void *place(void *target, size_t offset)
{
	return (char *)target + offset;
}

/* ======   Single values   ====== */

gn_code_t gn_schema_unsigned(gn_schema_reader_t *reader, const char *path,
			     const gn_schema_field_t *field,
			     const gn_toml_table_t *table, void *target)
{
	gn_toml_kind_t kind = gn_toml_kind(table, field->key);
	int64_t value = field->preset;

	if (kind != GN_TOML_NONE && !gn_toml_integer(table, field->key, &value))
		return fail_kind(reader, path, "an integer", kind);
	if (kind != GN_TOML_NONE && (value < field->min || value > field->max))
		return gn_schema_fail(reader, GN_ERR_RANGE, path,
				      "%lld is outside %lld..%lld",
				      (long long)value, (long long)field->min,
				      (long long)field->max);
	*(unsigned *)place(target, field->offset) = (unsigned)value;
	return GN_OK;
}

gn_code_t gn_schema_number(gn_schema_reader_t *reader, const char *path,
			   const gn_schema_field_t *field,
			   const gn_toml_table_t *table, void *target)
{
	gn_toml_kind_t kind = gn_toml_kind(table, field->key);
	double value = (double)field->preset;

	if (kind != GN_TOML_NONE && !gn_toml_number(table, field->key, &value))
		return fail_kind(reader, path, "a number", kind);
	/* Written so that NaN fails, too. */
	if (!(value >= (double)field->min && value <= (double)field->max))
		return gn_schema_fail(
			reader, GN_ERR_RANGE, path, "%g is outside %lld..%lld",
			value, (long long)field->min, (long long)field->max);
	*(double *)place(target, field->offset) = value;
	return GN_OK;
}

/** Copies a checked text under the owner of the reading. */
static gn_code_t keep(gn_schema_reader_t *reader, const char *path,
		      gn_str_t text, const char **kept)
{
	*kept = talloc_strndup(reader->owner, text.data, text.len);
	return *kept ? GN_OK : fail_memory(reader, path);
}

static gn_code_t keep_name(gn_schema_reader_t *reader, const char *path,
			   gn_str_t text, const char **kept)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789._-";

	if (!text.len || text.len > GN_NAME_MAX)
		return gn_schema_fail(reader, GN_ERR_RANGE, path,
				      "%zu bytes, outside 1..%d", text.len,
				      GN_NAME_MAX);
	for (size_t i = 0; i < text.len; i++)
		if (!memchr(allowed, text.data[i], sizeof(allowed) - 1))
			return gn_schema_fail(reader, GN_ERR_INVALID, path,
					      "a name holds letters, digits, "
					      "'.', '_' and '-' only");
	return keep(reader, path, text, kept);
}

static gn_code_t keep_address(gn_schema_reader_t *reader, const char *path,
			      gn_str_t text, const char **kept)
{
	char canonical[GN_ADDRESS_MAX + 1];
	struct sockaddr_storage address;

	if (gn_address_parse(text, &address))
		return gn_schema_fail(reader, GN_ERR_INVALID, path,
				      "not IP:PORT with port 1..65535");
	gn_address_format(&address, canonical);
	return keep(reader, path, gn_str_from(canonical), kept);
}

/** Checks a text and copies it. */
typedef gn_code_t (*keep_fn_t)(gn_schema_reader_t *reader, const char *path,
			       gn_str_t text, const char **kept);

static gn_code_t read_text(gn_schema_reader_t *reader, const char *path,
			   const gn_schema_field_t *field,
			   const gn_toml_table_t *table, void *target,
			   keep_fn_t keep_one)
{
	gn_toml_kind_t kind = gn_toml_kind(table, field->key);
	gn_str_t text;

	if (kind == GN_TOML_NONE)
		return GN_OK;
	if (!gn_toml_string(table, field->key, &text))
		return fail_kind(reader, path, "a string", kind);
	return keep_one(reader, path, text, place(target, field->offset));
}

gn_code_t gn_schema_name(gn_schema_reader_t *reader, const char *path,
			 const gn_schema_field_t *field,
			 const gn_toml_table_t *table, void *target)
{
	return read_text(reader, path, field, table, target, keep_name);
}

gn_code_t gn_schema_address(gn_schema_reader_t *reader, const char *path,
			    const gn_schema_field_t *field,
			    const gn_toml_table_t *table, void *target)
{
	return read_text(reader, path, field, table, target, keep_address);
}

static gn_code_t fail_enum(gn_schema_reader_t *reader, const char *path,
			   const gn_schema_field_t *field)
{
	char all[MESSAGE_SIZE] = "";

	for (size_t i = 0; field->names[i]; i++) {
		size_t used = strlen(all);

		snprintf(all + used, sizeof(all) - used, "%s%s", i ? ", " : "",
			 field->names[i]);
	}
	return gn_schema_fail(reader, GN_ERR_INVALID, path, "not one of %s",
			      all);
}

gn_code_t gn_schema_enum(gn_schema_reader_t *reader, const char *path,
			 const gn_schema_field_t *field,
			 const gn_toml_table_t *table, void *target)
{
	gn_toml_kind_t kind = gn_toml_kind(table, field->key);
	int *value = place(target, field->offset);
	gn_str_t text;

	*value = (int)field->preset;
	if (kind == GN_TOML_NONE)
		return GN_OK;
	if (!gn_toml_string(table, field->key, &text))
		return fail_kind(reader, path, "a string", kind);
	for (int i = 0; field->names[i]; i++) {
		if (gn_str_equal(text, gn_str_from(field->names[i]))) {
			*value = i;
			return GN_OK;
		}
	}
	return fail_enum(reader, path, field);
}

/** Parses a time; the day must exist in its month. */
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
	gn_toml_kind_t kind = gn_toml_kind(table, field->key);
	gn_str_t text;

	if (kind == GN_TOML_NONE)
		return GN_OK;
	if (!gn_toml_string(table, field->key, &text))
		return fail_kind(reader, path, "a string", kind);
	if (parse_utc(text, place(target, field->offset)))
		return gn_schema_fail(reader, GN_ERR_INVALID, path,
				      "not a time like "
				      "\"2026-01-31T06:00:00Z\"");
	return GN_OK;
}

/* ======   Arrays   ====== */

static gn_code_t check_length(gn_schema_reader_t *reader, const char *path,
			      const gn_schema_field_t *field, size_t length)
{
	if ((int64_t)length >= field->min && (int64_t)length <= field->max)
		return GN_OK;
	return gn_schema_fail(reader, GN_ERR_RANGE, path,
			      "%zu elements, outside %lld..%lld", length,
			      (long long)field->min, (long long)field->max);
}

static gn_code_t read_texts(gn_schema_reader_t *reader, const char *path,
			    const gn_schema_field_t *field,
			    const gn_toml_table_t *table, void *target,
			    keep_fn_t keep_one)
{
	gn_toml_kind_t kind = gn_toml_kind(table, field->key);
	size_t length = gn_toml_length(table, field->key);
	char one[GN_SCHEMA_PATH_SIZE];
	const char **texts;
	gn_code_t code;

	if (kind == GN_TOML_NONE)
		return GN_OK;
	if (kind != GN_TOML_ARRAY)
		return fail_kind(reader, path, "an array", kind);
	code = check_length(reader, path, field, length);
	if (code)
		return code;
	texts = talloc_zero_array(reader->owner, const char *, length);
	if (!texts)
		return fail_memory(reader, path);
	for (size_t i = 0; i < length; i++) {
		gn_str_t text;

		snprintf(one, sizeof(one), "%s[%zu]", path, i + 1);
		if (!gn_toml_string_at(table, field->key, i, &text))
			return gn_schema_fail(reader, GN_ERR_INVALID, one,
					      "expected a string");
		code = keep_one(reader, one, text, &texts[i]);
		if (code)
			return code;
	}
	*(const char ***)place(target, field->offset) = texts;
	*(size_t *)place(target, field->count_offset) = length;
	return GN_OK;
}

gn_code_t gn_schema_names(gn_schema_reader_t *reader, const char *path,
			  const gn_schema_field_t *field,
			  const gn_toml_table_t *table, void *target)
{
	return read_texts(reader, path, field, table, target, keep_name);
}

gn_code_t gn_schema_addresses(gn_schema_reader_t *reader, const char *path,
			      const gn_schema_field_t *field,
			      const gn_toml_table_t *table, void *target)
{
	return read_texts(reader, path, field, table, target, keep_address);
}

/* ======   Tables   ====== */

/** Looks for the first unknown key by name, so that the message is stable. */
typedef struct unknown_s {
	const gn_schema_field_t *fields;
	const char *key;
} unknown_t;

static bool visit_key(void *arg, const char *key)
{
	unknown_t *unknown = arg;

	for (const gn_schema_field_t *f = unknown->fields; f->key; f++)
		if (!strcmp(f->key, key))
			return true;
	if (!unknown->key || strcmp(key, unknown->key) < 0)
		unknown->key = key;
	return true;
}

static void join_path(char *path, const char *outer, const char *key)
{
	snprintf(path, GN_SCHEMA_PATH_SIZE, "%s%s%s", outer, *outer ? "." : "",
		 key);
}

static gn_code_t check_keys(gn_schema_reader_t *reader, const char *outer,
			    const gn_schema_field_t *fields,
			    const gn_toml_table_t *table)
{
	unknown_t unknown = { fields, NULL };
	char path[GN_SCHEMA_PATH_SIZE];

	if (!table)
		return GN_OK;
	gn_toml_each_key(table, visit_key, &unknown);
	if (!unknown.key)
		return GN_OK;
	join_path(path, outer, unknown.key);
	return gn_schema_fail(reader, GN_ERR_INVALID, path, "unknown key");
}

static gn_code_t read_field(gn_schema_reader_t *reader, const char *outer,
			    const gn_schema_field_t *field,
			    const gn_toml_table_t *table, void *target)
{
	bool given = gn_toml_kind(table, field->key) != GN_TOML_NONE;
	char path[GN_SCHEMA_PATH_SIZE];

	join_path(path, outer, field->key);
	if (given && (field->forbidden & reader->audience))
		return gn_schema_fail(reader, GN_ERR_INVALID, path,
				      "not a key of this role");
	if (!given && (field->required & reader->audience))
		return gn_schema_fail(reader, GN_ERR_INVALID, path, "missing");
	return field->read(reader, path, field, table, target);
}

static gn_code_t read_fields(gn_schema_reader_t *reader, const char *outer,
			     const gn_schema_field_t *fields,
			     const gn_toml_table_t *table, void *target)
{
	gn_code_t code = check_keys(reader, outer, fields, table);

	for (const gn_schema_field_t *f = fields; !code && f->key; f++)
		code = read_field(reader, outer, f, table, target);
	return code;
}

gn_code_t gn_schema_table(gn_schema_reader_t *reader, const char *path,
			  const gn_schema_field_t *field,
			  const gn_toml_table_t *table, void *target)
{
	gn_toml_kind_t kind = gn_toml_kind(table, field->key);

	if (kind != GN_TOML_NONE && kind != GN_TOML_TABLE)
		return fail_kind(reader, path, "a table", kind);
	return read_fields(reader, path, field->fields,
			   gn_toml_table(table, field->key), target);
}

gn_code_t gn_schema_tables(gn_schema_reader_t *reader, const char *path,
			   const gn_schema_field_t *field,
			   const gn_toml_table_t *table, void *target)
{
	gn_toml_kind_t kind = gn_toml_kind(table, field->key);
	size_t length = gn_toml_length(table, field->key);
	char one[GN_SCHEMA_PATH_SIZE];
	gn_code_t code;
	char *elements;

	if (kind != GN_TOML_NONE && kind != GN_TOML_TABLES)
		return fail_kind(reader, path, "an array of tables", kind);
	code = check_length(reader, path, field, length);
	if (code)
		return code;
	elements = talloc_zero_size(reader->owner, field->size * length + 1);
	if (!elements)
		return fail_memory(reader, path);
	for (size_t i = 0; i < length; i++) {
		snprintf(one, sizeof(one), "%s[%zu]", path, i + 1);
		code = read_fields(reader, one, field->fields,
				   gn_toml_table_at(table, field->key, i),
				   elements + i * field->size);
		if (code)
			return code;
	}
	*(void **)place(target, field->offset) = elements;
	*(size_t *)place(target, field->count_offset) = length;
	return GN_OK;
}

gn_code_t gn_schema_parse(gn_schema_reader_t *reader, gn_str_t text,
			  gn_toml_t **document)
{
	char message[GN_TOML_MESSAGE_SIZE];
	gn_code_t code = gn_toml_parse(NULL, text, document, message);

	if (code)
		gn_error_set(reader->error, code, reader->step, reader->peer,
			     "%s", message);
	return code;
}

gn_code_t gn_schema_read(gn_schema_reader_t *reader, const gn_toml_t *document,
			 const gn_schema_field_t *fields, void *target)
{
	return read_fields(reader, "", fields, gn_toml_root(document), target);
}
