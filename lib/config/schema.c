#include "config/schema_internal.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/** Size of the message about a key in bytes, including the terminator. */
#define MESSAGE_SIZE 120

static gn_code_t fail(gn_schema_reader_t *reader, gn_code_t code,
		      const char *path, const char *format, va_list args)
{
	char message[MESSAGE_SIZE];

	vsnprintf(message, sizeof(message), format, args);
	return gn_error_set(reader->error, code, reader->step, reader->peer,
			    "%s: %s", path, message);
}

gn_code_t gn_schema_fail(gn_schema_reader_t *reader, gn_code_t code,
			 const char *path, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fail(reader, code, path, format, args);
	va_end(args);
	return code;
}

gn_code_t gn_schema_fail_at(gn_schema_reader_t *reader, gn_code_t code,
			    const char *array, size_t index, const char *key,
			    const char *format, ...)
{
	char path[GN_SCHEMA_PATH_SIZE];
	va_list args;

	snprintf(path, sizeof(path), "%s[%zu].%s", array, index + 1, key);
	va_start(args, format);
	fail(reader, code, path, format, args);
	va_end(args);
	return code;
}

gn_code_t gn_schema_fail_memory(gn_schema_reader_t *reader, const char *path)
{
	return gn_schema_fail(reader, GN_ERR_MEMORY, path, "out of memory");
}

gn_code_t gn_schema_fail_kind(gn_schema_reader_t *reader, const char *path,
			      const char *expected, gn_toml_kind_t kind)
{
	return gn_schema_fail(reader, GN_ERR_INVALID, path,
			      "expected %s, got %s", expected,
			      gn_toml_kind_name(kind));
}

void *gn_schema_member(void *target, size_t offset)
{
	return (char *)target + offset;
}

gn_code_t gn_schema_check_length(gn_schema_reader_t *reader, const char *path,
				 const gn_schema_field_t *field, size_t length)
{
	if ((int64_t)length >= field->min && (int64_t)length <= field->max)
		return GN_OK;
	return gn_schema_fail(reader, GN_ERR_RANGE, path,
			      "length %zu is outside %lld..%lld", length,
			      (long long)field->min, (long long)field->max);
}

/* ======   Tables   ====== */

/** The unknown key that sorts first, so that the error is deterministic. */
typedef struct unknown_key_s {
	const gn_schema_field_t *fields;
	const char *key;
} unknown_key_t;

static bool note_unknown_key(void *arg, const char *key)
{
	unknown_key_t *unknown = arg;

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
	unknown_key_t unknown = { fields, NULL };
	char path[GN_SCHEMA_PATH_SIZE];

	if (!table)
		return GN_OK;
	gn_toml_visit_keys(table, note_unknown_key, &unknown);
	if (!unknown.key)
		return GN_OK;
	join_path(path, outer, unknown.key);
	return gn_schema_fail(reader, GN_ERR_INVALID, path, "unknown key");
}

static gn_code_t read_field(gn_schema_reader_t *reader, const char *outer,
			    const gn_schema_field_t *field,
			    const gn_toml_table_t *table, void *target)
{
	bool given = gn_toml_get_kind(table, field->key) != GN_TOML_NONE;
	char path[GN_SCHEMA_PATH_SIZE];

	join_path(path, outer, field->key);
	if (given && (field->forbidden & reader->variant))
		return gn_schema_fail(reader, GN_ERR_INVALID, path,
				      "not allowed for this role");
	if (!given && (field->required & reader->variant))
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
	gn_toml_kind_t kind = gn_toml_get_kind(table, field->key);

	if (kind != GN_TOML_NONE && kind != GN_TOML_TABLE)
		return gn_schema_fail_kind(reader, path, "a table", kind);
	return read_fields(reader, path, field->fields,
			   gn_toml_get_table(table, field->key), target);
}

gn_code_t gn_schema_tables(gn_schema_reader_t *reader, const char *path,
			   const gn_schema_field_t *field,
			   const gn_toml_table_t *table, void *target)
{
	gn_toml_kind_t kind = gn_toml_get_kind(table, field->key);
	size_t length = gn_toml_get_length(table, field->key);
	char element_path[GN_SCHEMA_PATH_SIZE];
	gn_code_t code;
	char *elements;

	if (kind != GN_TOML_NONE && kind != GN_TOML_TABLE_ARRAY)
		return gn_schema_fail_kind(reader, path, "an array of tables",
					   kind);
	code = gn_schema_check_length(reader, path, field, length);
	if (code)
		return code;
	elements = talloc_zero_size(reader->owner, field->size * length + 1);
	if (!elements)
		return gn_schema_fail_memory(reader, path);
	for (size_t i = 0; i < length; i++) {
		snprintf(element_path, sizeof(element_path), "%s[%zu]", path,
			 i + 1);
		code = read_fields(reader, element_path, field->fields,
				   gn_toml_get_table_at(table, field->key, i),
				   elements + i * field->size);
		if (code)
			return code;
	}
	*(void **)gn_schema_member(target, field->offset) = elements;
	*(size_t *)gn_schema_member(target, field->count_offset) = length;
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
