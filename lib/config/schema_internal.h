/**
 * @file schema_internal.h
 * @brief Shared by the files that read documents by a table of keys.
 */
#ifndef GN_CONFIG_SCHEMA_INTERNAL_H
#define GN_CONFIG_SCHEMA_INTERNAL_H

#include "config/schema.h"

/** Fills the reader's error: no memory at @p path. */
gn_code_t gn_schema_fail_memory(gn_schema_reader_t *reader, const char *path);

/** Fills the reader's error: @p path is of the wrong kind. */
gn_code_t gn_schema_fail_kind(gn_schema_reader_t *reader, const char *path,
			      const char *expected, gn_toml_kind_t kind);

/** Fills the reader's error unless @p length is within the field's bounds. */
gn_code_t gn_schema_check_length(gn_schema_reader_t *reader, const char *path,
				 const gn_schema_field_t *field, size_t length);

/** The member at @p offset of @p target. */
void *gn_schema_member(void *target, size_t offset);

#endif
