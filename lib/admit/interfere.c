#include "admit/interfere.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define PER_CENT 100
#define MAX_TASKS 4096.0
/** Variances before the first measurement, of shares of the target squared. */
#define PRIOR_BASE 10.0
#define PRIOR_KIND 0.01
/** Part of the prior by which a variance grows back within a half-life. */
#define DRIFT 0.1
/** Longest tail taken for true, in targets; beyond it is an accident. */
#define TAIL_MAX 5.0
/** The base and each kind. */
#define STATES (GN_INTERFERE_KINDS + 1)
#define BASE GN_INTERFERE_KINDS
/** Changes of what runs that are remembered for late measurements. */
#define HISTORY 64

static const unsigned band_ends_pct[GN_INTERFERE_BANDS - 1] = { 40, 75 };

typedef struct kind_s {
	char name[GN_NAME_MAX + 1]; /**< empty: a free place */
	size_t name_len;
	uint64_t learned_us[GN_INTERFERE_BANDS];
	uint64_t seen_us;
} kind_t;

/** What was learned in one band of load. */
typedef struct band_s {
	double added[STATES]; /**< for each task; the base last */
	double covariance[STATES][STATES];
	uint64_t learned_us;
} band_t;

/** What ran from one moment on. */
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
	unsigned count; /**< snapshots in the history, 1..HISTORY */
};

gn_interfere_config_t gn_interfere_defaults(void)
{
	gn_interfere_config_t config = { .noise_pct = 10, .half_life_s = 600 };

	return config;
}

static double prior_of(int state)
{
	return state == BASE ? PRIOR_BASE : PRIOR_KIND;
}

/** Forgets all that was learned of one kind, or of the base. */
static void reset_state(gn_interfere_t *interfere, int state)
{
	for (int i = 0; i < GN_INTERFERE_BANDS; i++) {
		band_t *band = &interfere->bands[i];

		band->added[state] = 0;
		for (int j = 0; j < STATES; j++) {
			band->covariance[state][j] = 0;
			band->covariance[j][state] = 0;
		}
		band->covariance[state][state] = prior_of(state);
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
	for (int state = 0; state < STATES; state++)
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

/** A free place, or that of the kind not seen for longest. */
static int free_place(const gn_interfere_t *interfere)
{
	int oldest = -1;

	for (int i = 0; i < GN_INTERFERE_KINDS; i++) {
		const kind_t *kind = &interfere->kinds[i];

		if (!kind->name_len)
			return i;
		if (runs_in_history(interfere, i))
			continue;
		if (oldest < 0 ||
		    kind->seen_us < interfere->kinds[oldest].seen_us)
			oldest = i;
	}
	return oldest;
}

static int need_kind(gn_interfere_t *interfere, gn_str_t name)
{
	int index = find_kind(interfere, name);

	if (index >= 0)
		return index;
	index = free_place(interfere);
	if (index < 0)
		return -1;
	memset(&interfere->kinds[index], 0, sizeof(kind_t));
	reset_state(interfere, index);
	gn_str_copy(interfere->kinds[index].name, GN_NAME_MAX + 1, name);
	interfere->kinds[index].name_len = name.len;
	return index;
}

/* ======   History   ====== */

static snapshot_t *open_snapshot(gn_interfere_t *interfere, uint64_t now_us)
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
	index = need_kind(interfere, name);
	if (index < 0)
		return GN_ERR_CAPACITY;
	interfere->kinds[index].seen_us = now_us;
	open_snapshot(interfere, now_us)->tasks[index] = tasks;
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

/** What a task of the kind at @p index adds, as much as is still believed. */
static double faded(const gn_interfere_t *interfere, int index, int band)
{
	uint64_t now_us = gn_clock_now_us(interfere->clock);
	uint64_t age_us = now_us - interfere->kinds[index].learned_us[band];
	double age_s = (double)age_us / GN_US_PER_S;

	return interfere->bands[band].added[index] *
	       exp2(-age_s / interfere->config.half_life_s);
}

static void refresh_running(gn_interfere_t *interfere, const double *input,
			    int band)
{
	uint64_t now_us = gn_clock_now_us(interfere->clock);

	for (int i = 0; i < GN_INTERFERE_KINDS; i++) {
		if (input[i] <= 0)
			continue;
		interfere->bands[band].added[i] = faded(interfere, i, band);
		interfere->kinds[i].learned_us[band] = now_us;
	}
}

/** Lets the variances grow back, so that later changes are followed. */
static void drift(gn_interfere_t *interfere, band_t *band)
{
	uint64_t now_us = gn_clock_now_us(interfere->clock);
	double passed_s = (double)(now_us - band->learned_us) / GN_US_PER_S;
	double part = DRIFT * passed_s / interfere->config.half_life_s;

	for (int i = 0; i < STATES; i++) {
		double prior = prior_of(i);
		double grown = band->covariance[i][i] + prior * MIN(part, 1.0);

		band->covariance[i][i] = MIN(grown, prior);
	}
	band->learned_us = now_us;
}

/** One step of the filter: @p input ran while @p tail was measured. */
static void correct(band_t *band, const double *input, double tail,
		    double noise)
{
	double product[STATES] = { 0 };
	double variance = noise * noise;
	double error = tail;

	for (int i = 0; i < STATES; i++) {
		for (int j = 0; j < STATES; j++)
			product[i] += band->covariance[i][j] * input[j];
		variance += input[i] * product[i];
		error -= band->added[i] * input[i];
	}
	for (int i = 0; i < STATES; i++) {
		band->added[i] += product[i] / variance * error;
		for (int j = 0; j < STATES; j++)
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
	double input[STATES];

	if (!snapshot || !isfinite(tail_share))
		return;
	memcpy(input, snapshot->tasks, sizeof(snapshot->tasks));
	input[BASE] = 1;
	refresh_running(interfere, input, band);
	drift(interfere, &interfere->bands[band]);
	correct(&interfere->bands[band], input, MIN(tail_share, TAIL_MAX),
		noise);
}

/* ======   Queries   ====== */

double gn_interfere_estimate(const gn_interfere_t *interfere, gn_str_t name,
			     unsigned load_pct)
{
	int index = find_kind(interfere, name);

	if (index < 0)
		return 0;
	return MAX(faded(interfere, index, band_of(load_pct)), 0);
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

bool gn_interfere_worst(const gn_interfere_t *interfere, unsigned load_pct,
			gn_str_t *name)
{
	const snapshot_t *now = &interfere->history[interfere->newest];
	double most = 0;

	for (int i = 0; i < GN_INTERFERE_KINDS; i++) {
		const kind_t *kind = &interfere->kinds[i];
		double added;

		if (now->tasks[i] <= 0)
			continue;
		added = faded(interfere, i, band_of(load_pct));
		if (added <= most)
			continue;
		most = added;
		*name = (gn_str_t){ kind->name, kind->name_len };
	}
	return most > 0;
}
