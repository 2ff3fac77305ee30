/**
 * @file file.h
 * @brief Reads a whole file of bounded size.
 */
#ifndef GN_CONFIG_FILE_H
#define GN_CONFIG_FILE_H

#include <talloc.h>

#include "common/error.h"

/**
 * Reads the file at @p path.
 * @param parent talloc parent of the bytes
 * @param max most bytes that are read; a longer file is refused
 * @param step static text, step of the error
 * @param bytes set on success; terminated, freed with talloc_free()
 * @return GN_OK, GN_ERR_NOT_FOUND, GN_ERR_RANGE (longer than @p max),
 *         GN_ERR_SYSTEM, GN_ERR_MEMORY
 */
gn_code_t gn_file_read(TALLOC_CTX *parent, const char *path, size_t max,
		       const char *step, gn_str_t *bytes, gn_error_t *error);

#endif
