#include "admit/interfere.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define PER_CENT 100
#define MAX_TASKS 4096.0
/** Changes of what runs that are remembered for late measurements. */
#define HISTORY 64

static const unsigned band_ends_pct[GN_INTERFERE_BANDS - 1] = { 40, 75 };

typedef struct kind_s {
	char name[GN_NAME_MAX + 1]; /**< empty: a free place */
	size_t name_len;
	double added[GN_INTERFERE_BANDS]; /**< for each task */
	uint64_t learned_us[GN_INTERFERE_BANDS];
	uint64_t seen_us;
} kind_t;

/** What ran from one moment on. */
typedef struct snapshot_s {
	uint64_t from_us;
	double tasks[GN_INTERFERE_KINDS];
} snapshot_t;

struct gn_interfere_s {
	const gn_clock_t *clock;
	gn_interfere_config_t config;
	kind_t kinds[GN_INTERFERE_KINDS];
	double base[GN_INTERFERE_BANDS];
	snapshot_t history[HISTORY];
	unsigned newest;
	unsigned count; /**< snapshots in the history, 1..HISTORY */
};

gn_interfere_config_t gn_interfere_defaults(void)
{
	gn_interfere_config_t config = { .rate_pct = 20, .half_life_s = 600 };

	return config;
}

gn_interfere_t *gn_interfere_create(TALLOC_CTX *parent, const gn_clock_t *clock,
				    const gn_interfere_config_t *config)
{
	gn_interfere_t *interfere;

	if (!config->rate_pct || config->rate_pct > PER_CENT)
		return NULL;
	if (!config->half_life_s || config->half_life_s > 86400)
		return NULL;
	interfere = talloc_zero(parent, gn_interfere_t);
	if (!interfere)
		return NULL;
	interfere->clock = clock;
	interfere->config = *config;
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

static double faded(const gn_interfere_t *interfere, const kind_t *kind,
		    int band)
{
	uint64_t now_us = gn_clock_now_us(interfere->clock);
	double age_s = (double)(now_us - kind->learned_us[band]) / GN_US_PER_S;

	return kind->added[band] * exp2(-age_s / interfere->config.half_life_s);
}

static double predict(const gn_interfere_t *interfere,
		      const snapshot_t *snapshot, int band)
{
	double sum = interfere->base[band];

	for (int i = 0; i < GN_INTERFERE_KINDS; i++)
		if (snapshot->tasks[i] > 0)
			sum += snapshot->tasks[i] *
			       faded(interfere, &interfere->kinds[i], band);
	return sum;
}

static double power_of(const snapshot_t *snapshot)
{
	double sum = 1;

	for (int i = 0; i < GN_INTERFERE_KINDS; i++)
		sum += snapshot->tasks[i] * snapshot->tasks[i];
	return sum;
}

static void correct(gn_interfere_t *interfere, const snapshot_t *snapshot,
		    int band, double step)
{
	uint64_t now_us = gn_clock_now_us(interfere->clock);

	interfere->base[band] = MAX(interfere->base[band] + step, 0);
	for (int i = 0; i < GN_INTERFERE_KINDS; i++) {
		kind_t *kind = &interfere->kinds[i];
		double added;

		if (snapshot->tasks[i] <= 0)
			continue;
		added = faded(interfere, kind, band) +
			step * snapshot->tasks[i];
		kind->added[band] = MAX(added, 0);
		kind->learned_us[band] = now_us;
	}
}

void gn_interfere_learn(gn_interfere_t *interfere, uint64_t measured_us,
			unsigned load_pct, double tail_share)
{
	const snapshot_t *snapshot = find_snapshot(interfere, measured_us);
	int band = band_of(load_pct);
	double error;
	double rate = (double)interfere->config.rate_pct / PER_CENT;

	if (!snapshot || !isfinite(tail_share))
		return;
	error = tail_share - predict(interfere, snapshot, band);
	correct(interfere, snapshot, band, rate * error / power_of(snapshot));
}

/* ======   Queries   ====== */

double gn_interfere_estimate(const gn_interfere_t *interfere, gn_str_t name,
			     unsigned load_pct)
{
	int index = find_kind(interfere, name);

	if (index < 0)
		return 0;
	return faded(interfere, &interfere->kinds[index], band_of(load_pct));
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
		added = faded(interfere, kind, band_of(load_pct));
		if (added <= most)
			continue;
		most = added;
		*name = (gn_str_t){ kind->name, kind->name_len };
	}
	return most > 0;
}
