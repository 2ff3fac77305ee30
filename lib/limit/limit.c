#include "limit/limit.h"

#include <assert.h>

#include "limit/retry_after.h"
#include "limit/teams.h"

#define PER_CENT 100
/** Windows after a cut without another one, so that the cut can take effect. */
#define MIN_WINDOWS_BETWEEN_CUTS 2
/** Use of the limit, in percent, from which it may grow. */
#define IN_USE_PCT 80
/**
 * A window with fewer ended requests is extended, as they are too few for a
 * decision.
 */
#define MIN_ENDED 10
/** Weight of a window in the smoothed admission rate. */
#define RATE_WEIGHT 0.2

/** Counts of the current window. */
typedef struct window_s {
	uint64_t start_us;
	unsigned admitted;
	unsigned ended;
	unsigned late;
	unsigned pushed_back;
	double time_us; /**< Sum of the response times. */
	/** Sum of the estimated response times on idle workers. */
	double idle_us;
	unsigned peak; /**< Maximum number of requests in flight. */
} window_t;

struct gn_limit_s {
	const gn_clock_t *clock;
	GRand *rand;
	gn_limit_config_t config;
	gn_teams_t *teams;

	double limit;
	unsigned in_flight;
	unsigned class_in_flight[GN_CLASS_COUNT];
	window_t window;
	/** Windows until the next cut is allowed. */
	unsigned cut_pause_windows;

	double admit_rate; /**< Smoothed admissions per second. */
	gn_retry_after_t retry_after;

	uint64_t admitted;
	uint64_t refused[GN_LIMIT_REASON_COUNT];
};

static const char *const reason_names[GN_LIMIT_REASON_COUNT] = {
	[GN_LIMIT_ADMITTED] = "admitted", [GN_LIMIT_DEADLINE] = "deadline",
	[GN_LIMIT_TOTAL] = "total",	  [GN_LIMIT_CLASS] = "class",
	[GN_LIMIT_TEAM] = "team",
};

const char *gn_limit_reason_name(gn_limit_reason_t reason)
{
	if ((unsigned)reason >= GN_LIMIT_REASON_COUNT)
		return "invalid";
	return reason_names[reason];
}

/* ======   Settings   ====== */

gn_limit_config_t gn_limit_defaults(void)
{
	gn_limit_config_t config = {
		.floor = 16,
		.ceiling = 8192,
		.start = 256,
		.window_ms = 100,
		.late_pct = 50,
		.late_share_pct = 5,
		.queue_pct = 125,
		.cut_pct = 85,
		.growth_pct = 5,
		.response_margin_pct = 200,
		.contention_pct = 70,
		.class_pct = { 100, 50, 25 },
		.other_weight = 1,
		.retry_pct = 20,
		.retry_min_ms = 200,
		.retry_max_ms = 30000,
	};

	return config;
}

static bool is_within(unsigned value, unsigned min, unsigned max)
{
	return value >= min && value <= max;
}

static bool is_config_valid(const gn_limit_config_t *config)
{
	for (int i = 0; i < GN_CLASS_COUNT; i++)
		if (!is_within(config->class_pct[i], 1, 100))
			return false;
	return is_within(config->floor, 1, 4096) &&
	       is_within(config->ceiling, config->floor, 1000000) &&
	       is_within(config->start, config->floor, config->ceiling) &&
	       is_within(config->window_ms, 10, 10000) &&
	       is_within(config->late_pct, 10, 100) &&
	       is_within(config->late_share_pct, 1, 50) &&
	       is_within(config->queue_pct, 110, 1000) &&
	       is_within(config->cut_pct, 50, 99) &&
	       is_within(config->growth_pct, 1, 50) &&
	       is_within(config->response_margin_pct, 100, 1000) &&
	       is_within(config->contention_pct, 1, 100) &&
	       is_within(config->other_weight, 1, GN_LIMIT_WEIGHT_MAX) &&
	       is_within(config->retry_pct, 1, 100) &&
	       is_within(config->retry_min_ms, 1, 60000) &&
	       is_within(config->retry_max_ms, config->retry_min_ms, 3600000);
}

gn_code_t gn_limit_set_team(gn_limit_t *limit, gn_str_t name, unsigned weight)
{
	return gn_teams_set(limit->teams, name, weight);
}

/* ======   The limit in flight   ====== */

static void cut_limit(gn_limit_t *limit)
{
	if (limit->cut_pause_windows)
		return;
	/*
	 * Cut from the peak in use: the unused part of the limit has no effect
	 * on the load.
	 */
	limit->limit = MIN(limit->limit, MAX(limit->window.peak, 1));
	limit->limit *= (double)limit->config.cut_pct / PER_CENT;
	limit->limit = MAX(limit->limit, limit->config.floor);
	limit->cut_pause_windows = MIN_WINDOWS_BETWEEN_CUTS + 1;
}

static void grow_limit(gn_limit_t *limit)
{
	limit->limit += 1 + limit->limit * limit->config.growth_pct / PER_CENT;
	limit->limit = MIN(limit->limit, limit->config.ceiling);
}

/**
 * Whether @p count exceeds the tolerated share of the ended requests.
 */
static bool exceeds_tolerated_share(const gn_limit_t *limit, unsigned count)
{
	return count * PER_CENT >
	       limit->window.ended * limit->config.late_share_pct;
}

static bool is_queueing(const gn_limit_t *limit)
{
	return limit->window.time_us * PER_CENT >
	       limit->window.idle_us * limit->config.queue_pct;
}

static bool is_overloaded(const gn_limit_t *limit)
{
	const window_t *window = &limit->window;

	if (window->ended < MIN_ENDED)
		return false;
	return exceeds_tolerated_share(limit, window->pushed_back) ||
	       (exceeds_tolerated_share(limit, window->late) &&
		is_queueing(limit));
}

static void adjust_limit(gn_limit_t *limit)
{
	bool in_use =
		limit->window.peak * PER_CENT >= limit->limit * IN_USE_PCT;

	if (is_overloaded(limit))
		cut_limit(limit);
	else if (in_use)
		grow_limit(limit);
	if (limit->cut_pause_windows)
		limit->cut_pause_windows--;
}

/**
 * Starts the next window. If the last one had too few ended requests for a
 * decision, their counts carry over.
 */
static void start_window(gn_limit_t *limit, uint64_t now_us)
{
	window_t *window = &limit->window;
	window_t next = { .start_us = now_us, .peak = limit->in_flight };

	if (window->ended >= MIN_ENDED) {
		*window = next;
		return;
	}
	window->start_us = now_us;
	window->admitted = 0;
	window->peak = limit->in_flight;
}

static void end_window_if_due(gn_limit_t *limit)
{
	uint64_t now_us = gn_clock_now_us(limit->clock);
	uint64_t length_us = (uint64_t)limit->config.window_ms * GN_US_PER_MS;
	uint64_t passed_us = now_us - limit->window.start_us;
	double rate;

	if (passed_us < length_us)
		return;
	rate = limit->window.admitted * (double)GN_US_PER_S / (double)passed_us;
	limit->admit_rate += (rate - limit->admit_rate) * RATE_WEIGHT;
	adjust_limit(limit);
	gn_teams_end_window(limit->teams);
	start_window(limit, now_us);
}

uint32_t gn_limit_draw_retry_after_ms(gn_limit_t *limit)
{
	double rate = limit->admit_rate * limit->config.retry_pct / PER_CENT;

	return gn_retry_after_draw_ms(&limit->retry_after, limit->rand,
				      gn_clock_now_us(limit->clock), rate);
}

/* ======   Admission   ====== */

static bool has_time(const gn_limit_t *limit, const gn_limit_request_t *request)
{
	return request->response_us * limit->config.response_margin_pct /
		       PER_CENT <
	       request->time_left_us;
}

static bool has_class_room(const gn_limit_t *limit, gn_class_t work_class)
{
	double max_in_flight =
		limit->limit * limit->config.class_pct[work_class] / PER_CENT;

	return limit->class_in_flight[work_class] < MAX(max_in_flight, 1.0);
}

static bool has_team_room(const gn_limit_t *limit, const gn_limit_team_t *team)
{
	double share;

	if (limit->in_flight * PER_CENT <
	    limit->limit * limit->config.contention_pct)
		return true;
	share = limit->limit * gn_teams_share(limit->teams, team);
	return team->in_flight < MAX(share, 1.0);
}

static gn_limit_reason_t check_limits(const gn_limit_t *limit,
				      const gn_limit_request_t *request,
				      const gn_limit_team_t *team)
{
	if (!has_time(limit, request))
		return GN_LIMIT_DEADLINE;
	if (limit->in_flight >= (unsigned)limit->limit)
		return GN_LIMIT_TOTAL;
	if (!has_class_room(limit, request->work_class))
		return GN_LIMIT_CLASS;
	if (!has_team_room(limit, team))
		return GN_LIMIT_TEAM;
	return GN_LIMIT_ADMITTED;
}

static void count_admitted(gn_limit_t *limit, const gn_limit_request_t *request,
			   gn_limit_team_t *team, gn_limit_ticket_t *ticket)
{
	limit->in_flight++;
	limit->class_in_flight[request->work_class]++;
	team->in_flight++;
	limit->admitted++;
	limit->window.admitted++;
	limit->window.peak = MAX(limit->window.peak, limit->in_flight);
	ticket->team = team;
	ticket->work_class = request->work_class;
	ticket->start_us = gn_clock_now_us(limit->clock);
	ticket->time_left_us = request->time_left_us;
	ticket->idle_response_us = request->idle_response_us;
}

void gn_limit_acquire(gn_limit_t *limit, const gn_limit_request_t *request,
		      gn_limit_result_t *verdict)
{
	gn_limit_team_t *team = gn_teams_activate(limit->teams, request->team);

	assert((unsigned)request->work_class < GN_CLASS_COUNT);
	end_window_if_due(limit);
	*verdict = (gn_limit_result_t){ .reason = check_limits(limit, request,
							       team) };
	if (verdict->reason == GN_LIMIT_ADMITTED) {
		count_admitted(limit, request, team, &verdict->ticket);
		return;
	}
	limit->refused[verdict->reason]++;
	verdict->retry_after_ms = gn_limit_draw_retry_after_ms(limit);
}

static void count_response(gn_limit_t *limit, const gn_limit_ticket_t *ticket)
{
	uint64_t time_us = gn_clock_now_us(limit->clock) - ticket->start_us;

	limit->window.time_us += (double)time_us;
	limit->window.idle_us += (double)ticket->idle_response_us;
	if (time_us * PER_CENT > ticket->time_left_us * limit->config.late_pct)
		limit->window.late++;
}

static void count_end(gn_limit_t *limit, const gn_limit_ticket_t *ticket,
		      gn_limit_end_t end)
{
	if (end == GN_LIMIT_OTHER)
		return;
	limit->window.ended++;
	if (end == GN_LIMIT_REFUSED)
		limit->window.pushed_back++;
	else
		count_response(limit, ticket);
}

void gn_limit_release(gn_limit_t *limit, const gn_limit_ticket_t *ticket,
		      gn_limit_end_t end)
{
	gn_limit_team_t *team = ticket->team;

	end_window_if_due(limit);
	assert(limit->in_flight && team->in_flight);
	assert(limit->class_in_flight[ticket->work_class]);
	limit->in_flight--;
	limit->class_in_flight[ticket->work_class]--;
	team->in_flight--;
	gn_teams_free_if_removed(team);
	count_end(limit, ticket, end);
}

/* ======   Creation and queries   ====== */

gn_limit_t *gn_limit_create(TALLOC_CTX *parent, const gn_clock_t *clock,
			    GRand *rand, const gn_limit_config_t *config)
{
	gn_limit_t *limit;

	if (!is_config_valid(config))
		return NULL;
	limit = talloc_zero(parent, gn_limit_t);
	if (!limit)
		return NULL;
	limit->clock = clock;
	limit->rand = rand;
	limit->config = *config;
	limit->limit = config->start;
	limit->retry_after.min_ms = config->retry_min_ms;
	limit->retry_after.max_ms = config->retry_max_ms;
	limit->window.start_us = gn_clock_now_us(clock);
	limit->teams = gn_teams_create(limit, config->other_weight);
	if (!limit->teams) {
		talloc_free(limit);
		return NULL;
	}
	return limit;
}

void gn_limit_info(const gn_limit_t *limit, gn_limit_info_t *info)
{
	*info = (gn_limit_info_t){
		.limit = (unsigned)limit->limit,
		.in_flight = limit->in_flight,
		.teams = gn_teams_count(limit->teams),
		.admitted = limit->admitted,
	};
	for (int i = 0; i < GN_CLASS_COUNT; i++)
		info->class_in_flight[i] = limit->class_in_flight[i];
	for (int i = 0; i < GN_LIMIT_REASON_COUNT; i++)
		info->refused[i] = limit->refused[i];
}

unsigned gn_limit_team_in_flight(const gn_limit_t *limit, gn_str_t name)
{
	const gn_limit_team_t *team = gn_teams_find(limit->teams, name);

	return team ? team->in_flight : 0;
}
