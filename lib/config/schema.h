/**
 * @file schema.h
 * @brief Reads a TOML document into a struct by a table of its keys.
 *
 * The table names each key with its type, its bounds and its place in the
 * struct. Every key of the document must be in the table, so a misspelt one
 * is found. The first fault ends the reading, with one line that names the
 * key.
 */
#ifndef GN_CONFIG_SCHEMA_H
#define GN_CONFIG_SCHEMA_H

#include "common/error.h"
#include "config/toml.h"

/** Longest dotted path of a key with its terminator, bytes. */
#define GN_SCHEMA_PATH_SIZE 64

/** The state of one reading. */
typedef struct gn_schema_reader_s {
	TALLOC_CTX *owner; /**< talloc parent of strings and arrays */
	gn_error_t *error; /**< gets the one line; may be NULL */
	const char *step; /**< static text, step of the error */
	const char *peer; /**< peer of the error, the file's name */
	unsigned variant; /**< one bit: for whom the document is */
} gn_schema_reader_t;

typedef struct gn_schema_field_s gn_schema_field_t;

/** Reads one field of @p table, which may be NULL, into @p target. */
typedef gn_code_t (*gn_schema_read_fn_t)(gn_schema_reader_t *reader,
					 const char *path,
					 const gn_schema_field_t *field,
					 const gn_toml_table_t *table,
					 void *target);

/** One key. Which members count depends on the type. */
struct gn_schema_field_s {
	const char *key;
	gn_schema_read_fn_t read; /**< the type: one of gn_schema_... below */
	size_t offset; /**< of the value in the target, bytes */
	size_t count_offset; /**< of the count (size_t) of an array */
	int64_t min; /**< least value, or least length of an array */
	int64_t max; /**< greatest value, or greatest length of an array */
	int64_t default_value; /**< value of an optional key that is missing */
	unsigned required; /**< audiences that must give the key */
	unsigned forbidden; /**< audiences that must not */
	const char *const *names; /**< of an enum, ended by NULL */
	const gn_schema_field_t *fields; /**< of a table; ended by no key */
	size_t size; /**< of one element of an array of tables, bytes */
};

/** Every audience. */
#define GN_SCHEMA_ALL (~0U)

/** A whole number, min..max, into an unsigned. */
gn_code_t gn_schema_unsigned(gn_schema_reader_t *reader, const char *path,
			     const gn_schema_field_t *field,
			     const gn_toml_table_t *table, void *target);

/** A number, min..max, into a double. */
gn_code_t gn_schema_number(gn_schema_reader_t *reader, const char *path,
			   const gn_schema_field_t *field,
			   const gn_toml_table_t *table, void *target);

/**
 * A name of 1..GN_NAME_MAX letters, digits, '.', '_' and '-', into a
 * const char *.
 */
gn_code_t gn_schema_name(gn_schema_reader_t *reader, const char *path,
			 const gn_schema_field_t *field,
			 const gn_toml_table_t *table, void *target);

/** Names, min..max of them, into a const char ** and its count. */
gn_code_t gn_schema_names(gn_schema_reader_t *reader, const char *path,
			  const gn_schema_field_t *field,
			  const gn_toml_table_t *table, void *target);

/** An address IP:PORT, into a const char * in canonical form. */
gn_code_t gn_schema_address(gn_schema_reader_t *reader, const char *path,
			    const gn_schema_field_t *field,
			    const gn_toml_table_t *table, void *target);

/** Addresses, min..max of them, into a const char ** and its count. */
gn_code_t gn_schema_addresses(gn_schema_reader_t *reader, const char *path,
			      const gn_schema_field_t *field,
			      const gn_toml_table_t *table, void *target);

/** One of names, as its index, into an int. */
gn_code_t gn_schema_enum(gn_schema_reader_t *reader, const char *path,
			 const gn_schema_field_t *field,
			 const gn_toml_table_t *table, void *target);

/** A time "2026-01-31T06:00:00Z", into an int64_t, seconds since 1970 UTC. */
gn_code_t gn_schema_utc(gn_schema_reader_t *reader, const char *path,
			const gn_schema_field_t *field,
			const gn_toml_table_t *table, void *target);

/** A table of fields, into the same target. */
gn_code_t gn_schema_table(gn_schema_reader_t *reader, const char *path,
			  const gn_schema_field_t *field,
			  const gn_toml_table_t *table, void *target);

/**
 * An array of tables, min..max of them, each of size bytes, into a pointer
 * to the first and its count.
 */
gn_code_t gn_schema_tables(gn_schema_reader_t *reader, const char *path,
			   const gn_schema_field_t *field,
			   const gn_toml_table_t *table, void *target);

/**
 * Parses @p text.
 * @param document set on success; freed with talloc_free()
 * @return GN_OK, GN_ERR_INVALID, GN_ERR_RANGE or GN_ERR_MEMORY
 */
gn_code_t gn_schema_parse(gn_schema_reader_t *reader, gn_str_t text,
			  gn_toml_t **document);

/**
 * Reads the outermost table of @p document whole.
 * @param fields the keys of the document, ended by one without a key
 * @param target the struct to fill; partly filled on failure
 * @return GN_OK, GN_ERR_INVALID, GN_ERR_RANGE or GN_ERR_MEMORY
 */
gn_code_t gn_schema_read(gn_schema_reader_t *reader, const gn_toml_t *document,
			 const gn_schema_field_t *fields, void *target);

/** Fills the reader's error with "path: text" and returns @p code. */
gn_code_t gn_schema_fail(gn_schema_reader_t *reader, gn_code_t code,
			 const char *path, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/**
 * Fills the reader's error with "array[index + 1].key: text" and returns
 * @p code.
 * @param index counted from 0
 */
gn_code_t gn_schema_fail_at(gn_schema_reader_t *reader, gn_code_t code,
			    const char *array, size_t index, const char *key,
			    const char *format, ...)
	__attribute__((format(printf, 6, 7)));

#endif
