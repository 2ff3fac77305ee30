/*
 * Rate of key-value calls that the member record makes with up to as many
 * entries as the system must support: when all start at once, when nothing
 * changes, and when one entry dies.
 */
#include <string.h>

#include "common/str.h"
#include "member/record.h"
#include "support/fake_kv.h"

#define ENTRIES_MAX 75
#define STEP_US (20 * GN_US_PER_MS)
#define STEPS_PER_S (GN_US_PER_S / STEP_US)
#define TTL_MS 6000
/** Maximum rates of the platform's service, in calls per second. */
#define WRITES_PER_S_MAX 300
#define READS_PER_S_MAX 2000
/** Time limits until all entries have acknowledged the record, in seconds. */
#define START_LIMIT_S 60
#define REMOVAL_LIMIT_S 30

typedef struct fleet_s {
	gn_clock_t clock;
	GRand *rand;
	kv_state_t *state;
	fake_kv_t *fakes[ENTRIES_MAX];
	gn_record_t *records[ENTRIES_MAX];
	size_t count;
} fleet_t;

typedef struct call_stats_s {
	uint64_t writes, reads; /* totals */
	uint64_t peak_writes, peak_reads; /* maximum within one second */
	unsigned seconds; /* time until all had acknowledged the record */
} call_stats_t;

static void fleet_open(fleet_t *fleet, size_t count)
{
	memset(fleet, 0, sizeof(*fleet));
	gn_clock_init_paused(&fleet->clock, GN_US_PER_S);
	fleet->rand = g_rand_new_with_seed(1);
	fleet->state = kv_state_create();
	fleet->count = count;
	for (size_t i = 0; i < count; i++) {
		gn_record_options_t options = { 0 };

		fleet->fakes[i] = fake_kv_create(fleet->state, &fleet->clock,
						 (guint32)i + 1);
		fake_kv_faults(fleet->fakes[i])->delay_max_us =
			10 * GN_US_PER_MS;
		options.kv = fake_kv_client(fleet->fakes[i]);
		options.clock = &fleet->clock;
		options.rand = fleet->rand;
		options.name = "entry";
		options.address = "127.0.0.1:1";
		options.incarnation = i + 1;
		options.lease_ttl_ms = TTL_MS;
		fleet->records[i] = gn_record_create(NULL, &options);
	}
}

static void fleet_close(fleet_t *fleet)
{
	for (size_t i = 0; i < ENTRIES_MAX; i++) {
		gn_record_free(fleet->records[i]);
		if (fleet->fakes[i])
			fake_kv_free(fleet->fakes[i]);
	}
	kv_state_free(fleet->state);
	g_rand_free(fleet->rand);
}

/* Whether all live entries are members and have acknowledged the record. */
static bool have_all_acked(const fleet_t *fleet)
{
	for (size_t i = 0; i < ENTRIES_MAX; i++) {
		const gn_record_doc_t *doc;

		if (!fleet->records[i])
			continue;
		doc = gn_record_adopted(fleet->records[i]);
		if (!doc || doc->member_count != fleet->count)
			return false;
		for (size_t j = 0; j < ENTRIES_MAX; j++)
			if (fleet->records[j] &&
			    gn_record_acked(fleet->records[i], j + 1) !=
				    doc->revision)
				return false;
	}
	return true;
}

static void count_calls(const fleet_t *fleet, uint64_t *writes, uint64_t *reads)
{
	*writes = 0;
	*reads = 0;
	for (size_t i = 0; i < ENTRIES_MAX; i++) {
		const fake_kv_counts_t *counts;

		if (!fleet->fakes[i])
			continue;
		counts = fake_kv_counts(fleet->fakes[i]);
		*writes += counts->writes;
		*reads += counts->calls - counts->writes;
	}
}

static void run_second(fleet_t *fleet)
{
	for (unsigned s = 0; s < STEPS_PER_S; s++) {
		gn_clock_advance(&fleet->clock, STEP_US);
		for (size_t i = 0; i < ENTRIES_MAX; i++) {
			if (!fleet->records[i])
				continue;
			gn_record_tick(fleet->records[i]);
			fake_kv_run(fleet->fakes[i]);
		}
	}
}

static void run_until_all_acked(fleet_t *fleet, unsigned limit_s,
				call_stats_t *stats)
{
	uint64_t writes, reads, last_writes, last_reads;

	memset(stats, 0, sizeof(*stats));
	count_calls(fleet, &last_writes, &last_reads);
	for (; stats->seconds < limit_s; stats->seconds++) {
		run_second(fleet);
		count_calls(fleet, &writes, &reads);
		stats->writes += writes - last_writes;
		stats->reads += reads - last_reads;
		stats->peak_writes =
			MAX(stats->peak_writes, writes - last_writes);
		stats->peak_reads = MAX(stats->peak_reads, reads - last_reads);
		last_writes = writes;
		last_reads = reads;
		if (have_all_acked(fleet))
			return;
	}
	g_error("not all entries acknowledged the record in %u s", limit_s);
}

static void check_rates(const char *what, size_t entries,
			const call_stats_t *stats)
{
	g_test_message("%s entries=%zu seconds=%u writes=%" G_GUINT64_FORMAT
		       " reads=%" G_GUINT64_FORMAT
		       " peak_writes_per_s=%" G_GUINT64_FORMAT
		       " peak_reads_per_s=%" G_GUINT64_FORMAT,
		       what, entries, stats->seconds + 1, stats->writes,
		       stats->reads, stats->peak_writes, stats->peak_reads);
	g_assert_cmpuint(stats->peak_writes, <=, WRITES_PER_S_MAX);
	g_assert_cmpuint(stats->peak_reads, <=, READS_PER_S_MAX);
}

static void test_scale(const void *data)
{
	size_t entries = GPOINTER_TO_SIZE(data);
	call_stats_t stats;
	fleet_t fleet;

	fleet_open(&fleet, entries);
	run_until_all_acked(&fleet, START_LIMIT_S, &stats);
	check_rates("start", entries, &stats);
	run_second(&fleet);
	run_until_all_acked(&fleet, 1, &stats);
	check_rates("rest", entries, &stats);
	gn_record_free(fleet.records[0]);
	fleet.records[0] = NULL;
	fleet.count--;
	run_until_all_acked(&fleet, REMOVAL_LIMIT_S, &stats);
	check_rates("death", entries, &stats);
	fleet_close(&fleet);
}

int main(int argc, char **argv)
{
	static const size_t sizes[] = { 3, 10, 30, ENTRIES_MAX };

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		g_autofree char *path =
			g_strdup_printf("/record/scale/%zu", sizes[i]);

		g_test_add_data_func(path, GSIZE_TO_POINTER(sizes[i]),
				     test_scale);
	}
	return g_test_run();
}
