#include "common/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const char *const code_names[GN_CODE_COUNT] = {
	[GN_OK] = "ok",
	[GN_ERR_MEMORY] = "memory",
	[GN_ERR_INVALID] = "invalid",
	[GN_ERR_RANGE] = "range",
	[GN_ERR_NOT_FOUND] = "not-found",
	[GN_ERR_CONFLICT] = "conflict",
	[GN_ERR_UNKNOWN] = "unknown",
	[GN_ERR_UNAVAILABLE] = "unavailable",
	[GN_ERR_TIMEOUT] = "timeout",
	[GN_ERR_TRUNCATED] = "truncated",
	[GN_ERR_STALE] = "stale",
	[GN_ERR_CAPACITY] = "capacity",
	[GN_ERR_RATE] = "rate",
	[GN_ERR_SYSTEM] = "system",
};

static const char *const outcome_names[GN_OUTCOME_COUNT] = {
	[GN_OUTCOME_DONE] = "done",
	[GN_OUTCOME_NOT_RUN] = "not-run",
	[GN_OUTCOME_UNKNOWN] = "unknown",
};

static const char *const class_names[GN_CLASS_COUNT] = {
	[GN_CLASS_QUICK] = "quick",
	[GN_CLASS_BATCH] = "batch",
	[GN_CLASS_STANDING] = "standing",
};

const char *gn_code_name(gn_code_t code)
{
	return (unsigned)code < GN_CODE_COUNT ? code_names[code] : "invalid";
}

const char *gn_outcome_name(gn_outcome_t outcome)
{
	if ((unsigned)outcome >= GN_OUTCOME_COUNT)
		return "unknown";
	return outcome_names[outcome];
}

const char *gn_class_name(gn_class_t work_class)
{
	if ((unsigned)work_class >= GN_CLASS_COUNT)
		return "invalid";
	return class_names[work_class];
}

gn_code_t gn_class_parse(gn_str_t name, gn_class_t *work_class)
{
	for (int i = 0; i < GN_CLASS_COUNT; i++) {
		if (strlen(class_names[i]) == name.len &&
		    !memcmp(class_names[i], name.data, name.len)) {
			*work_class = (gn_class_t)i;
			return GN_OK;
		}
	}
	return GN_ERR_NOT_FOUND;
}

gn_code_t gn_error_set(gn_error_t *error, gn_code_t code, const char *step,
		       const char *peer, const char *format, ...)
{
	va_list args;

	if (!error)
		return code;
	error->code = code;
	error->step = step;
	snprintf(error->peer, sizeof(error->peer), "%s", peer ? peer : "");
	va_start(args, format);
	vsnprintf(error->detail, sizeof(error->detail), format, args);
	va_end(args);
	return code;
}
