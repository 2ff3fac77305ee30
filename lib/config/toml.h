/**
 * @file toml.h
 * @brief TOML documents in C: parsing and typed access.
 *
 * Inline tables are not taken, since nesting them has no bound.
 *
 * A document owns its tables; tables, keys and strings live as long as it
 * does. No exception of the parsing library leaves this module.
 */
#ifndef GN_CONFIG_TOML_H
#define GN_CONFIG_TOML_H

#include <stdbool.h>
#include <talloc.h>

#include "gypsumnotch.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Longest document, bytes; the inventory of 18,000 hosts fits. */
#define GN_TOML_TEXT_MAX (8 * 1024 * 1024)
/** Longest line of a document, bytes. */
#define GN_TOML_LINE_MAX 4096
/**
 * Most brackets that may open an array in one document; those of headers
 * don't count. The parser recurses on them, so this bounds its stack.
 */
#define GN_TOML_BRACKETS_MAX 4096
/** Longest message of gn_toml_parse() with its terminator, bytes. */
#define GN_TOML_MESSAGE_SIZE 120

/** A parsed document; a talloc object, freed with talloc_free(). */
typedef struct gn_toml_s gn_toml_t;

/** A table of a document. */
typedef struct gn_toml_table_s gn_toml_table_t;

/** What a key holds. Names: gn_toml_kind_name(). */
typedef enum gn_toml_kind_e {
	GN_TOML_NONE = 0, /**< no such key */
	GN_TOML_STRING,
	GN_TOML_INTEGER,
	GN_TOML_FLOAT,
	GN_TOML_BOOLEAN,
	GN_TOML_TIME, /**< a date or a time */
	GN_TOML_ARRAY,
	GN_TOML_TABLE,
	GN_TOML_TABLE_ARRAY, /**< an array of tables */
	GN_TOML_KIND_COUNT
} gn_toml_kind_t;

/** The name of @p kind with its article, such as "an integer". */
const char *gn_toml_kind_name(gn_toml_kind_t kind);

/**
 * Parses @p text.
 * @param parent talloc parent of the document
 * @param text 0..GN_TOML_TEXT_MAX bytes
 * @param document set on success, else untouched
 * @param message of GN_TOML_MESSAGE_SIZE bytes; says what is wrong, with
 *        its line where the library tells it
 * @return GN_OK, GN_ERR_INVALID (malformed), GN_ERR_RANGE (over a bound of
 *         this header), GN_ERR_MEMORY
 */
gn_code_t gn_toml_parse(TALLOC_CTX *parent, gn_str_t text, gn_toml_t **document,
			char *message);

/** The outermost table of @p document. */
const gn_toml_table_t *gn_toml_root(const gn_toml_t *document);

/** What @p key holds in @p table; GN_TOML_NONE if @p table is NULL. */
gn_toml_kind_t gn_toml_get_kind(const gn_toml_table_t *table, const char *key);

/** Reads a string; false if @p key holds something else. */
bool gn_toml_get_string(const gn_toml_table_t *table, const char *key,
			gn_str_t *value);

/** Reads an integer; false if @p key holds something else. */
bool gn_toml_get_integer(const gn_toml_table_t *table, const char *key,
			 int64_t *value);

/** Reads an integer or a float; false if @p key holds something else. */
bool gn_toml_get_number(const gn_toml_table_t *table, const char *key,
			double *value);

/** Reads a boolean; false if @p key holds something else. */
bool gn_toml_get_boolean(const gn_toml_table_t *table, const char *key,
			 bool *value);

/** The table at @p key, or NULL. */
const gn_toml_table_t *gn_toml_get_table(const gn_toml_table_t *table,
					 const char *key);

/** The length of the array or array of tables at @p key, else 0. */
size_t gn_toml_get_length(const gn_toml_table_t *table, const char *key);

/** Reads string @p index of an array; false if it isn't there or no string. */
bool gn_toml_get_string_at(const gn_toml_table_t *table, const char *key,
			   size_t index, gn_str_t *value);

/** Table @p index of an array of tables, or NULL. */
const gn_toml_table_t *gn_toml_get_table_at(const gn_toml_table_t *table,
					    const char *key, size_t index);

/** Called with each key; returns false to stop. */
typedef bool (*gn_toml_visit_fn_t)(void *arg, const char *key);

/**
 * Calls @p visit with each key of @p table, in no particular order.
 * @return false if @p visit stopped
 */
bool gn_toml_visit_keys(const gn_toml_table_t *table, gn_toml_visit_fn_t visit,
			void *arg);

/**
 * Writes the document in @p text anew without some tables of an array:
 * those whose string @p key is @p value. Comments are lost.
 * @param parent talloc parent of the new text
 * @param changed set on success, else untouched; terminated
 * @param message as of gn_toml_parse()
 * @return as gn_toml_parse()
 */
gn_code_t gn_toml_remove_tables(TALLOC_CTX *parent, gn_str_t text,
				const char *array, const char *key,
				const char *value, gn_str_t *changed,
				char *message);

#ifdef __cplusplus
}
#endif

#endif
