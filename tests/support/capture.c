#include "support/capture.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

void begin_capture(capture_t *capture)
{
	fflush(stdout);
	capture->file = tmpfile();
	g_assert_nonnull(capture->file);
	capture->output = dup(STDOUT_FILENO);
	g_assert_cmpint(dup2(fileno(capture->file), STDOUT_FILENO), >=, 0);
}

json_t *end_capture(capture_t *capture, const char *event)
{
	json_t *lines = json_array();
	json_t *line;

	g_assert_cmpint(dup2(capture->output, STDOUT_FILENO), >=, 0);
	close(capture->output);
	rewind(capture->file);
	while ((line = json_loadf(capture->file, JSON_DISABLE_EOF_CHECK,
				  NULL))) {
		if (!strcmp(json_string_value(json_object_get(line, "event")),
			    event))
			json_array_append(lines, line);
		json_decref(line);
	}
	fclose(capture->file);
	return lines;
}

json_int_t read_number(const json_t *lines, size_t index, const char *member)
{
	const json_t *value =
		json_object_get(json_array_get(lines, index), member);

	g_assert_true(json_is_integer(value));
	return json_integer_value(value);
}
