/**
 * @file schema_internal.h
 * @brief Declarations shared by the source files of the schema reader.
 */
#ifndef GN_CONFIG_SCHEMA_INTERNAL_H
#define GN_CONFIG_SCHEMA_INTERNAL_H

#include "config/schema.h"

/** Reports an out-of-memory error while reading @p path. */
gn_code_t gn_schema_fail_memory(gn_schema_reader_t *reader, const char *path);

/** Reports that @p path has the type @p kind instead of @p expected. */
gn_code_t gn_schema_fail_kind(gn_schema_reader_t *reader, const char *path,
			      const char *expected, gn_toml_kind_t kind);

/** Reports an error if @p length is outside the bounds of @p field. */
gn_code_t gn_schema_check_length(gn_schema_reader_t *reader, const char *path,
				 const gn_schema_field_t *field, size_t length);

/** Returns a pointer to the member at @p offset of the struct @p target. */
void *gn_schema_member(void *target, size_t offset);

#endif
