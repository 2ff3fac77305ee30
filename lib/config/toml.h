/**
 * @file toml.h
 * @brief C interface to a C++ TOML parser.
 *
 * Inline tables are rejected, since their nesting depth has no limit. So is any
 * other line with '{', except comments.
 *
 * Tables, keys and strings are owned by their document and are valid until it
 * is freed. No C++ exception leaves this module.
 */
#ifndef GN_CONFIG_TOML_H
#define GN_CONFIG_TOML_H

#include <stdbool.h>
#include <talloc.h>

#include "gypsumnotch.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum size of a document in bytes; fits an inventory of 18,000 hosts. */
#define GN_TOML_TEXT_MAX (8 * 1024 * 1024)
/** Maximum length of a line in bytes. */
#define GN_TOML_LINE_MAX 4096
/**
 * Maximum number of opening brackets in a document, except those of table
 * headers. The parser recurses on them, so this limits its stack usage.
 */
#define GN_TOML_BRACKETS_MAX 4096
/** Size of a message of gn_toml_parse() in bytes, including the terminator. */
#define GN_TOML_MESSAGE_SIZE 120

/** A parsed document, to be freed with talloc_free(). */
typedef struct gn_toml_s gn_toml_t;

/** A table of a document. */
typedef struct gn_toml_table_s gn_toml_table_t;

/** The type of a value; gn_toml_kind_name() returns its name. */
typedef enum gn_toml_kind_e {
	GN_TOML_NONE = 0, /**< The key does not exist. */
	GN_TOML_STRING,
	GN_TOML_INTEGER,
	GN_TOML_FLOAT,
	GN_TOML_BOOLEAN,
	GN_TOML_TIME, /**< A date, a time or both. */
	GN_TOML_ARRAY,
	GN_TOML_TABLE,
	GN_TOML_TABLE_ARRAY, /**< An array of tables. */
	GN_TOML_KIND_COUNT
} gn_toml_kind_t;

/** Returns the name of @p kind with its article, such as "an integer". */
const char *gn_toml_kind_name(gn_toml_kind_t kind);

/**
 * Parses a document.
 * @param parent talloc parent of the document
 * @param text document of 0..GN_TOML_TEXT_MAX bytes
 * @param document set on success only
 * @param message buffer of GN_TOML_MESSAGE_SIZE bytes; set on failure, with
 *        the line if it is known
 * @return GN_OK, GN_ERR_INVALID (malformed), GN_ERR_RANGE (a limit of this
 *         header is exceeded), GN_ERR_MEMORY
 */
gn_code_t gn_toml_parse(TALLOC_CTX *parent, gn_str_t text, gn_toml_t **document,
			char *message);

/** Returns the root table of @p document. */
const gn_toml_table_t *gn_toml_root(const gn_toml_t *document);

/** Returns the type of a value; GN_TOML_NONE if @p table is NULL. */
gn_toml_kind_t gn_toml_get_kind(const gn_toml_table_t *table, const char *key);

/** Reads a string; returns false if the value has another type. */
bool gn_toml_get_string(const gn_toml_table_t *table, const char *key,
			gn_str_t *value);

/** Reads an integer; returns false if the value has another type. */
bool gn_toml_get_integer(const gn_toml_table_t *table, const char *key,
			 int64_t *value);

/** Reads an integer or a float; returns false if it is neither. */
bool gn_toml_get_number(const gn_toml_table_t *table, const char *key,
			double *value);

/** Reads a boolean; returns false if the value has another type. */
bool gn_toml_get_boolean(const gn_toml_table_t *table, const char *key,
			 bool *value);

/** Returns the table at @p key, or NULL. */
const gn_toml_table_t *gn_toml_get_table(const gn_toml_table_t *table,
					 const char *key);

/** Returns the length of an array or array of tables; 0 if it is neither. */
size_t gn_toml_get_length(const gn_toml_table_t *table, const char *key);

/** Reads a string of an array; returns false if there is none at @p index. */
bool gn_toml_get_string_at(const gn_toml_table_t *table, const char *key,
			   size_t index, gn_str_t *value);

/** Returns the table at @p index of an array of tables, or NULL. */
const gn_toml_table_t *gn_toml_get_table_at(const gn_toml_table_t *table,
					    const char *key, size_t index);

/** Visits a key; returns false to stop the iteration. */
typedef bool (*gn_toml_visit_fn_t)(void *arg, const char *key);

/**
 * Calls @p visit for each key of @p table, in unspecified order.
 * @return false if @p visit stopped the iteration
 */
bool gn_toml_visit_keys(const gn_toml_table_t *table, gn_toml_visit_fn_t visit,
			void *arg);

/**
 * Removes the tables of an array whose string at @p key is @p value. The
 * document is reformatted and its comments are lost.
 * @param parent talloc parent of the new text
 * @param array key of the array of tables in the root table
 * @param changed set on success only; terminated
 * @param message set on failure as by gn_toml_parse()
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
