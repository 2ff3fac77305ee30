#include "admit/interfere.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define PER_CENT 100
#define MAX_TASKS 4096.0
/**
 * Initial variances of the base and of a kind, in squared shares of the target.
 */
#define PRIOR_BASE 10.0
#define PRIOR_KIND 0.01
/** Part of the initial variance by which a variance grows per half-life. */
#define DRIFT 0.1
/**
 * Maximum tail, in multiples of the target, used for learning. Longer ones are
 * clamped, as they have other causes than interference.
 */
#define TAIL_MAX 5.0
/** Number of estimated states: the base and each kind. */
#define STATE_COUNT (GN_INTERFERE_KINDS + 1)
#define BASE_STATE GN_INTERFERE_KINDS
/** Number of changes of the running tasks kept for delayed measurements. */
#define HISTORY 64

static const unsigned band_ends_pct[GN_INTERFERE_BANDS - 1] = { 40, 75 };

typedef struct kind_s {
	/** Name of the kind; empty if the slot is free. */
	char name[GN_NAME_MAX + 1];
	size_t name_len;
	uint64_t learned_us[GN_INTERFERE_BANDS];
	uint64_t last_set_us;
} kind_t;

/** Estimates of one load band. */
typedef struct band_s {
	double added[STATE_COUNT]; /**< Contribution per task; the base last. */
	double covariance[STATE_COUNT][STATE_COUNT];
	uint64_t learned_us;
} band_t;

/** Running tasks of each kind from one time on. */
typedef struct snapshot_s {
	uint64_t from_us;
	double tasks[GN_INTERFERE_KINDS];
} snapshot_t;

struct gn_interfere_s {
	const gn_clock_t *clock;
	gn_interfere_config_t config;
	kind_t kinds[GN_INTERFERE_KINDS];
	band_t bands[GN_INTERFERE_BANDS];
	snapshot_t history[HISTORY];
	unsigned newest;
	/** Number of valid snapshots in the history, 1..HISTORY. */
	unsigned count;
};

gn_interfere_config_t gn_interfere_defaults(void)
{
	gn_interfere_config_t config = { .noise_pct = 10, .half_life_s = 600 };

	return config;
}

static double prior_variance(int state)
{
	return state == BASE_STATE ? PRIOR_BASE : PRIOR_KIND;
}

/** Resets the estimates of one kind, or of the base, in all bands. */
static void reset_state(gn_interfere_t *interfere, int state)
{
	for (int i = 0; i < GN_INTERFERE_BANDS; i++) {
		band_t *band = &interfere->bands[i];

		band->added[state] = 0;
		for (int j = 0; j < STATE_COUNT; j++) {
			band->covariance[state][j] = 0;
			band->covariance[j][state] = 0;
		}
		band->covariance[state][state] = prior_variance(state);
	}
}

gn_interfere_t *gn_interfere_create(TALLOC_CTX *parent, const gn_clock_t *clock,
				    const gn_interfere_config_t *config)
{
	gn_interfere_t *interfere;

	if (!config->noise_pct || config->noise_pct > PER_CENT)
		return NULL;
	if (!config->half_life_s || config->half_life_s > 86400)
		return NULL;
	interfere = talloc_zero(parent, gn_interfere_t);
	if (!interfere)
		return NULL;
	interfere->clock = clock;
	interfere->config = *config;
	for (int state = 0; state < STATE_COUNT; state++)
		reset_state(interfere, state);
	interfere->count = 1;
	interfere->history[0].from_us = gn_clock_now_us(clock);
	return interfere;
}

/* ======   Kinds   ====== */

static int find_kind(const gn_interfere_t *interfere, gn_str_t name)
{
	for (int i = 0; i < GN_INTERFERE_KINDS; i++) {
		const kind_t *kind = &interfere->kinds[i];
		gn_str_t known = { kind->name, kind->name_len };

		if (known.len && gn_str_equal(known, name))
			return i;
	}
	return -1;
}

static bool runs_in_history(const gn_interfere_t *interfere, int index)
{
	for (unsigned i = 0; i < interfere->count; i++) {
		unsigned at = (interfere->newest + HISTORY - i) % HISTORY;

		if (interfere->history[at].tasks[index] > 0)
			return true;
	}
	return false;
}

/**
 * Returns a free slot, or the slot of the kind that was set least recently and
 * is not in the history; -1 if there is none.
 */
static int find_slot(const gn_interfere_t *interfere)
{
	int oldest = -1;

	for (int i = 0; i < GN_INTERFERE_KINDS; i++) {
		const kind_t *kind = &interfere->kinds[i];

		if (!kind->name_len)
			return i;
		if (runs_in_history(interfere, i))
			continue;
		if (oldest < 0 ||
		    kind->last_set_us < interfere->kinds[oldest].last_set_us)
			oldest = i;
	}
	return oldest;
}

static int find_or_add_kind(gn_interfere_t *interfere, gn_str_t name)
{
	int index = find_kind(interfere, name);

	if (index >= 0)
		return index;
	index = find_slot(interfere);
	if (index < 0)
		return -1;
	memset(&interfere->kinds[index], 0, sizeof(kind_t));
	reset_state(interfere, index);
	gn_str_copy(interfere->kinds[index].name, GN_NAME_MAX + 1, name);
	interfere->kinds[index].name_len = name.len;
	return index;
}

/* ======   History   ====== */

static snapshot_t *begin_snapshot(gn_interfere_t *interfere, uint64_t now_us)
{
	snapshot_t *newest = &interfere->history[interfere->newest];
	snapshot_t *opened;

	if (newest->from_us == now_us)
		return newest;
	interfere->newest = (interfere->newest + 1) % HISTORY;
	interfere->count = MIN(interfere->count + 1, HISTORY);
	opened = &interfere->history[interfere->newest];
	*opened = *newest;
	opened->from_us = now_us;
	return opened;
}

static const snapshot_t *find_snapshot(const gn_interfere_t *interfere,
				       uint64_t at_us)
{
	for (unsigned i = 0; i < interfere->count; i++) {
		unsigned at = (interfere->newest + HISTORY - i) % HISTORY;

		if (interfere->history[at].from_us <= at_us)
			return &interfere->history[at];
	}
	return NULL;
}

gn_code_t gn_interfere_set_running(gn_interfere_t *interfere, gn_str_t name,
				   double tasks)
{
	uint64_t now_us = gn_clock_now_us(interfere->clock);
	int index;

	if (!name.len || name.len > GN_NAME_MAX)
		return GN_ERR_RANGE;
	if (!(tasks >= 0 && tasks <= MAX_TASKS))
		return GN_ERR_RANGE;
	index = find_or_add_kind(interfere, name);
	if (index < 0)
		return GN_ERR_CAPACITY;
	interfere->kinds[index].last_set_us = now_us;
	begin_snapshot(interfere, now_us)->tasks[index] = tasks;
	return GN_OK;
}

/* ======   Learning   ====== */

static int band_of(unsigned load_pct)
{
	int band = 0;

	while (band < GN_INTERFERE_BANDS - 1 && load_pct >= band_ends_pct[band])
		band++;
	return band;
}

/** Returns the decayed contribution of a task of the kind at @p index. */
static double decayed_estimate(const gn_interfere_t *interfere, int index,
			       int band)
{
	uint64_t now_us = gn_clock_now_us(interfere->clock);
	uint64_t age_us = now_us - interfere->kinds[index].learned_us[band];
	double age_s = (double)age_us / GN_US_PER_S;

	return interfere->bands[band].added[index] *
	       exp2(-age_s / interfere->config.half_life_s);
}

static void decay_running(gn_interfere_t *interfere, const double *input,
			  int band)
{
	uint64_t now_us = gn_clock_now_us(interfere->clock);

	for (int i = 0; i < GN_INTERFERE_KINDS; i++) {
		if (input[i] <= 0)
			continue;
		interfere->bands[band].added[i] =
			decayed_estimate(interfere, i, band);
		interfere->kinds[i].learned_us[band] = now_us;
	}
}

/**
 * Increases the variances with time, so that the estimates follow later
 * changes.
 */
static void increase_variances(gn_interfere_t *interfere, band_t *band)
{
	uint64_t now_us = gn_clock_now_us(interfere->clock);
	double passed_s = (double)(now_us - band->learned_us) / GN_US_PER_S;
	double part = DRIFT * passed_s / interfere->config.half_life_s;

	for (int i = 0; i < STATE_COUNT; i++) {
		double prior = prior_variance(i);
		double grown = band->covariance[i][i] + prior * MIN(part, 1.0);

		band->covariance[i][i] = MIN(grown, prior);
	}
	band->learned_us = now_us;
}

/**
 * Performs one update step of the filter: @p input was running while @p tail
 * was measured.
 */
static void update_estimates(band_t *band, const double *input, double tail,
			     double noise)
{
	double product[STATE_COUNT] = { 0 };
	double variance = noise * noise;
	double error = tail;

	for (int i = 0; i < STATE_COUNT; i++) {
		for (int j = 0; j < STATE_COUNT; j++)
			product[i] += band->covariance[i][j] * input[j];
		variance += input[i] * product[i];
		error -= band->added[i] * input[i];
	}
	for (int i = 0; i < STATE_COUNT; i++) {
		band->added[i] += product[i] / variance * error;
		for (int j = 0; j < STATE_COUNT; j++)
			band->covariance[i][j] -=
				product[i] * product[j] / variance;
	}
}

void gn_interfere_learn(gn_interfere_t *interfere, uint64_t measured_us,
			unsigned load_pct, double tail_share)
{
	const snapshot_t *snapshot = find_snapshot(interfere, measured_us);
	double noise = (double)interfere->config.noise_pct / PER_CENT;
	int band = band_of(load_pct);
	double input[STATE_COUNT];

	if (!snapshot || !isfinite(tail_share))
		return;
	memcpy(input, snapshot->tasks, sizeof(snapshot->tasks));
	input[BASE_STATE] = 1;
	decay_running(interfere, input, band);
	increase_variances(interfere, &interfere->bands[band]);
	update_estimates(&interfere->bands[band], input,
			 MIN(tail_share, TAIL_MAX), noise);
}

/* ======   Queries   ====== */

double gn_interfere_estimate(const gn_interfere_t *interfere, gn_str_t name,
			     unsigned load_pct)
{
	int index = find_kind(interfere, name);

	if (index < 0)
		return 0;
	return MAX(decayed_estimate(interfere, index, band_of(load_pct)), 0);
}

bool gn_interfere_is_known(const gn_interfere_t *interfere, gn_str_t name,
			   unsigned load_pct)
{
	uint64_t half_life_us =
		(uint64_t)interfere->config.half_life_s * GN_US_PER_S;
	uint64_t now_us = gn_clock_now_us(interfere->clock);
	int index = find_kind(interfere, name);
	uint64_t learned_us;

	if (index < 0)
		return false;
	learned_us = interfere->kinds[index].learned_us[band_of(load_pct)];
	return learned_us && now_us - learned_us < half_life_us;
}

bool gn_interfere_find_worst(const gn_interfere_t *interfere, unsigned load_pct,
			     gn_str_t *name)
{
	const snapshot_t *now = &interfere->history[interfere->newest];
	double most = 0;

	for (int i = 0; i < GN_INTERFERE_KINDS; i++) {
		const kind_t *kind = &interfere->kinds[i];
		double added;

		if (now->tasks[i] <= 0)
			continue;
		added = decayed_estimate(interfere, i, band_of(load_pct));
		if (added <= most)
			continue;
		most = added;
		*name = (gn_str_t){ kind->name, kind->name_len };
	}
	return most > 0;
}
