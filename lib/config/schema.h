/**
 * @file schema.h
 * @brief Reads a TOML document into a struct, as described by a schema.
 *
 * The schema is a table of keys with their types, bounds and offsets in the
 * struct. A key that is not in the schema is an error, so that misspelt keys
 * are detected. Reading stops at the first error, which names the key.
 */
#ifndef GN_CONFIG_SCHEMA_H
#define GN_CONFIG_SCHEMA_H

#include "common/error.h"
#include "config/toml.h"

/** Size of the dotted path of a key in bytes, including the terminator. */
#define GN_SCHEMA_PATH_SIZE 64

/** The state of reading one document. */
typedef struct gn_schema_reader_s {
	TALLOC_CTX *owner; /**< talloc parent of strings and arrays. */
	gn_error_t *error; /**< Set on failure; may be NULL. */
	const char *step; /**< Step name in errors; static text. */
	const char *peer; /**< File name, the peer in errors. */
	unsigned variant; /**< Bit of the document's variant, such as a role. */
} gn_schema_reader_t;

typedef struct gn_schema_field_s gn_schema_field_t;

/** Reads a key of @p table, which may be NULL, into the struct @p target. */
typedef gn_code_t (*gn_schema_read_fn_t)(gn_schema_reader_t *reader,
					 const char *path,
					 const gn_schema_field_t *field,
					 const gn_toml_table_t *table,
					 void *target);

/** The schema of one key. Which members are used depends on its type. */
struct gn_schema_field_s {
	const char *key;
	gn_schema_read_fn_t read; /**< The type, one of the functions below. */
	size_t offset; /**< Offset of the value in the struct, in bytes. */
	size_t count_offset; /**< Offset of the size_t length of an array. */
	int64_t min; /**< Minimum value, or length of an array. */
	int64_t max; /**< Maximum value, or length of an array. */
	int64_t default_value; /**< Value if an optional key is missing. */
	unsigned required; /**< Variants that require the key. */
	unsigned forbidden; /**< Variants that must not have the key. */
	/** Names of an enum's values, NULL-terminated. */
	const char *const *names;
	/** Keys of a table; the last has no key. */
	const gn_schema_field_t *fields;
	size_t size; /**< Size of an element of a table array, in bytes. */
};

/** All variants of a document. */
#define GN_SCHEMA_ALL (~0U)

/** Reads an integer in min..max into an unsigned. */
gn_code_t gn_schema_unsigned(gn_schema_reader_t *reader, const char *path,
			     const gn_schema_field_t *field,
			     const gn_toml_table_t *table, void *target);

/**
 * Reads a number in min..max, which may be a fraction, into an unsigned. It is
 * rounded to the nearest integer.
 */
gn_code_t gn_schema_rounded(gn_schema_reader_t *reader, const char *path,
			    const gn_schema_field_t *field,
			    const gn_toml_table_t *table, void *target);

/** Reads a number in min..max into a double. */
gn_code_t gn_schema_number(gn_schema_reader_t *reader, const char *path,
			   const gn_schema_field_t *field,
			   const gn_toml_table_t *table, void *target);

/**
 * Reads a name of 1..GN_NAME_MAX letters, digits, '.', '_' and '-' into a
 * const char *.
 */
gn_code_t gn_schema_name(gn_schema_reader_t *reader, const char *path,
			 const gn_schema_field_t *field,
			 const gn_toml_table_t *table, void *target);

/** Reads an array of min..max names into a const char ** and its length. */
gn_code_t gn_schema_names(gn_schema_reader_t *reader, const char *path,
			  const gn_schema_field_t *field,
			  const gn_toml_table_t *table, void *target);

/** Reads an address IP:PORT into a const char *, in canonical form. */
gn_code_t gn_schema_address(gn_schema_reader_t *reader, const char *path,
			    const gn_schema_field_t *field,
			    const gn_toml_table_t *table, void *target);

/** Reads an array of min..max addresses into a const char ** and its length. */
gn_code_t gn_schema_addresses(gn_schema_reader_t *reader, const char *path,
			      const gn_schema_field_t *field,
			      const gn_toml_table_t *table, void *target);

/** Reads one of the names of an enum into an int, as its index. */
gn_code_t gn_schema_enum(gn_schema_reader_t *reader, const char *path,
			 const gn_schema_field_t *field,
			 const gn_toml_table_t *table, void *target);

/**
 * Reads a time such as "2026-01-31T06:00:00Z" into an int64_t, as seconds
 * since 1970 UTC.
 */
gn_code_t gn_schema_utc(gn_schema_reader_t *reader, const char *path,
			const gn_schema_field_t *field,
			const gn_toml_table_t *table, void *target);

/** Reads a nested table into the same struct. */
gn_code_t gn_schema_table(gn_schema_reader_t *reader, const char *path,
			  const gn_schema_field_t *field,
			  const gn_toml_table_t *table, void *target);

/**
 * Reads an array of min..max tables into a pointer to an array of structs and
 * its length.
 */
gn_code_t gn_schema_tables(gn_schema_reader_t *reader, const char *path,
			   const gn_schema_field_t *field,
			   const gn_toml_table_t *table, void *target);

/**
 * Parses a document.
 * @param document set on success; to be freed with talloc_free()
 * @return GN_OK, GN_ERR_INVALID, GN_ERR_RANGE or GN_ERR_MEMORY
 */
gn_code_t gn_schema_parse(gn_schema_reader_t *reader, gn_str_t text,
			  gn_toml_t **document);

/**
 * Reads the root table of a document.
 * @param fields keys of the document; the last element has no key
 * @param target struct to fill; it may be filled partly on failure
 * @return GN_OK, GN_ERR_INVALID, GN_ERR_RANGE or GN_ERR_MEMORY
 */
gn_code_t gn_schema_read(gn_schema_reader_t *reader, const gn_toml_t *document,
			 const gn_schema_field_t *fields, void *target);

/** Sets the reader's error to "path: text" and returns @p code. */
gn_code_t gn_schema_fail(gn_schema_reader_t *reader, gn_code_t code,
			 const char *path, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/**
 * Sets the reader's error to "array[index + 1].key: text" and returns @p code.
 * @param index index of the element, starting at 0
 */
gn_code_t gn_schema_fail_at(gn_schema_reader_t *reader, gn_code_t code,
			    const char *array, size_t index, const char *key,
			    const char *format, ...)
	__attribute__((format(printf, 6, 7)));

#endif
