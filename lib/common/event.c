#include "common/event.h"

#include <fcntl.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"

/** Rate limit of events: sustained lines per second, and the burst size. */
#define LINES_PER_S 300
#define LINES_BURST 600

static const char *event_process = "-";
static uint64_t last_us;
static uint64_t credit_us = (uint64_t)LINES_BURST * GN_US_PER_S / LINES_PER_S;
static uint64_t dropped;

void gn_event_init(const char *process)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	event_process = process;
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* Token bucket: the credit is time, of which each line costs its share. */
static int consume_credit(void)
{
	const uint64_t cost_us = GN_US_PER_S / LINES_PER_S;
	const uint64_t max_us = LINES_BURST * cost_us;
	gn_clock_t clock;
	uint64_t now_us;

	gn_clock_init_boot(&clock);
	now_us = gn_clock_now_us(&clock);
	credit_us += now_us - last_us;
	last_us = now_us;
	if (credit_us > max_us)
		credit_us = max_us;
	if (credit_us < cost_us)
		return 0;
	credit_us -= cost_us;
	return 1;
}

static void write_line(json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);
	size_t len = text ? strlen(text) : 0;

	if (!text) {
		dropped++;
		return;
	}
	text[len] = '\n';
	if (write(STDOUT_FILENO, text, len + 1) == (ssize_t)(len + 1))
		dropped = 0;
	else
		dropped++;
	free(text);
}

void gn_event(const char *event, const char *format, ...)
{
	json_t *line;
	json_t *members;
	gn_clock_t wall;
	va_list args;

	if (!consume_credit()) {
		dropped++;
		return;
	}
	gn_clock_init_wall(&wall);
	line = json_pack("{s:I, s:s, s:s}", "ms",
			 (json_int_t)(gn_clock_now_us(&wall) / GN_US_PER_MS),
			 "process", event_process, "event", event);
	va_start(args, format);
	members = json_vpack_ex(NULL, 0, format, args);
	va_end(args);
	json_object_update(line, members);
	if (dropped)
		json_object_set_new(line, "dropped",
				    json_integer((json_int_t)dropped));
	write_line(line);
	json_decref(members);
	json_decref(line);
}
