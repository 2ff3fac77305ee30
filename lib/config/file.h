/**
 * @file file.h
 * @brief Reading a whole file of limited size.
 */
#ifndef GN_CONFIG_FILE_H
#define GN_CONFIG_FILE_H

#include <talloc.h>

#include "common/error.h"

/**
 * Reads the file at @p path.
 * @param parent talloc parent of the content
 * @param max maximum accepted size in bytes
 * @param step step that errors are reported with; static text
 * @param bytes set to the content on success; terminated, to be freed with
 *        talloc_free()
 * @return GN_OK, GN_ERR_NOT_FOUND, GN_ERR_RANGE (larger than @p max),
 *         GN_ERR_SYSTEM, GN_ERR_MEMORY
 */
gn_code_t gn_file_read(TALLOC_CTX *parent, const char *path, size_t max,
		       const char *step, gn_str_t *bytes, gn_error_t *error);

#endif
