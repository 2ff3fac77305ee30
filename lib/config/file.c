#include "config/file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

/** Initial size of the buffer in bytes. */
#define INITIAL_SIZE 4096

static gn_code_t fail_errno(gn_error_t *error, const char *step,
			    const char *path, int number)
{
	gn_code_t code = number == ENOENT ? GN_ERR_NOT_FOUND : GN_ERR_SYSTEM;

	return gn_error_set(error, code, step, path, "%s", strerror(number));
}

/** Reads to the end of the file into a buffer that grows by doubling. */
static gn_code_t read_all(TALLOC_CTX *parent, FILE *file, size_t max,
			  char **text, size_t *len)
{
	size_t size = INITIAL_SIZE;

	*text = talloc_array(parent, char, size);
	*len = 0;
	while (*text) {
		*len += fread(*text + *len, 1, size - 1 - *len, file);
		(*text)[*len] = '\0';
		if (ferror(file))
			return GN_ERR_SYSTEM;
		if (*len > max)
			return GN_ERR_RANGE;
		if (*len < size - 1)
			return GN_OK;
		size *= 2;
		*text = talloc_realloc(parent, *text, char, size);
	}
	return GN_ERR_MEMORY;
}

gn_code_t gn_file_read(TALLOC_CTX *parent, const char *path, size_t max,
		       const char *step, gn_str_t *bytes, gn_error_t *error)
{
	FILE *file = fopen(path, "rb");
	gn_code_t code;
	char *text;
	size_t len;

	if (!file)
		return fail_errno(error, step, path, errno);
	code = read_all(parent, file, max, &text, &len);
	if (code == GN_ERR_SYSTEM)
		fail_errno(error, step, path, errno);
	else if (code == GN_ERR_RANGE)
		gn_error_set(error, code, step, path,
			     "file is larger than %zu bytes", max);
	else if (code)
		gn_error_set(error, code, step, path, "out of memory");
	fclose(file);
	if (code) {
		talloc_free(text);
		return code;
	}
	*bytes = (gn_str_t){ text, len };
	return GN_OK;
}
