#include "common/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

/** Size of the text of a line in bytes; longer texts are truncated. */
#define TEXT_SIZE 512

static const char *log_program = "gypsumnotch";
static int log_level = LOG_INFO;

void gn_log_init(const char *program, int level)
{
	log_program = program;
	log_level = level;
}

void gn_log(int level, const char *step, const char *peer, const char *format,
	    ...)
{
	char text[TEXT_SIZE];
	char stamp[sizeof("2026-01-01T00:00:00Z")];
	struct tm utc;
	time_t now = time(NULL);
	va_list args;

	if (level > log_level)
		return;
	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	gmtime_r(&now, &utc);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%SZ", &utc);
	fprintf(stderr, "<%d>%s %s[%d]: step=%s peer=%s %s\n",
		LOG_DAEMON | level, stamp, log_program, (int)getpid(), step,
		peer && *peer ? peer : "-", text);
}

void gn_log_error(int level, const gn_error_t *error)
{
	gn_log(level, error->step ? error->step : "-", error->peer,
	       "error=%s %s", gn_code_name(error->code), error->detail);
}
