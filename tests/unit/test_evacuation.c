#include <glib.h>

#include "common/str.h"
#include "evacuation/cold.h"
#include "evacuation/evacuation.h"
#include "wire/gypsumnotch.pb-c.h"

#define PREFIX "ops/out/"
#define NOW_US (100 * GN_US_PER_S)

/** Builds one update. */
typedef struct news_s {
	gn_kv_entry_t entries[8];
	gn_kv_update_t update;
} news_t;

static void add(news_t *news, const char *key, const char *value,
		uint64_t revision)
{
	gn_kv_entry_t *entry = &news->entries[news->update.count++];

	entry->key = gn_str_from(key);
	entry->value = gn_str_from(value);
	entry->deleted = !value;
	entry->revision = revision;
	news->update.entries = news->entries;
	news->update.revision = MAX(news->update.revision, revision);
}

/* Keys that were reported as ignored. */
static unsigned ignored;

static void count_ignored(void *arg, gn_str_t key, const char *why)
{
	(void)arg;
	g_assert_cmpuint(key.len, >, 0);
	g_assert_nonnull(why);
	ignored++;
}

static bool apply(gn_evacuations_t *set, news_t *news, bool is_snapshot)
{
	news->update.is_snapshot = is_snapshot;
	return gn_evacuations_update(set, &news->update, count_ignored, NULL);
}

/* Evacuates one data centre, or none if @p key is NULL, by a snapshot. */
static gn_evacuations_t *create_known(const char *key)
{
	gn_evacuations_t *set = gn_evacuations_create(NULL, PREFIX);
	news_t news = { .update.revision = 10 };

	if (key)
		add(&news, key, "{}", 10);
	apply(set, &news, true);
	gn_evacuations_confirm(set, NOW_US);
	return set;
}

/* ======   Knowledge   ====== */

/* Guards against starts by a leader that has not read the evacuations yet. */
static void test_nothing_starts_before_the_set_is_read(void)
{
	gn_evacuations_t *set = gn_evacuations_create(NULL, PREFIX);
	news_t news = { .update.revision = 1 };

	g_assert_false(gn_evacuations_may_start(set, NOW_US));
	g_assert_cmpuint(gn_evacuations_age_us(set, NOW_US), ==, UINT64_MAX);
	/* Changes alone do not tell what else there is. */
	g_assert_false(apply(set, &news, false));
	gn_evacuations_confirm(set, NOW_US);
	g_assert_false(gn_evacuations_may_start(set, NOW_US));
	apply(set, &news, true);
	g_assert_true(gn_evacuations_may_start(set, NOW_US));
	talloc_free(set);
}

/* Guards against starts by a leader that has lost the key-value service. */
static void test_nothing_starts_on_an_old_set(void)
{
	gn_evacuations_t *set = create_known(NULL);
	uint64_t limit_us = GN_EVACUATION_MAX_AGE_MS * GN_US_PER_MS;

	g_assert_true(gn_evacuations_may_start(set, NOW_US + limit_us));
	g_assert_false(gn_evacuations_may_start(set, NOW_US + limit_us + 1));
	/* A confirmation that comes out of order changes nothing. */
	gn_evacuations_confirm(set, NOW_US - 1);
	g_assert_true(gn_evacuations_may_start(set, NOW_US + limit_us));
	talloc_free(set);
}

/* Guards against a start by the oldest order of the oldest set that comes after
 * the bound. */
static void test_ages_add_up_to_the_bound(void)
{
	for (unsigned bound_ms = 0; bound_ms <= 20000; bound_ms += 100) {
		unsigned age_ms =
			gn_evacuation_start_max_age_ms(bound_ms, 3000);

		if (!bound_ms)
			g_assert_cmpuint(age_ms, ==, 3000);
		else if (age_ms)
			g_assert_cmpuint(age_ms + GN_EVACUATION_MAX_AGE_MS +
						 GN_EVACUATION_CALLS_MS,
					 <=, bound_ms);
		g_assert_cmpuint(age_ms, <=, 3000);
	}
	g_assert_cmpuint(gn_evacuation_start_max_age_ms(5000, 3000), ==, 2500);
}

/* ======   Requests   ====== */

static void test_several_data_centres(void)
{
	gn_evacuations_t *set = create_known(PREFIX "b");
	news_t news = { 0 };

	add(&news, PREFIX "a", "{}", 11);
	add(&news, PREFIX "c", "{}", 12);
	add(&news, "ops/config", "{}", 13);
	add(&news, "op", "{}", 14);
	g_assert_true(apply(set, &news, false));
	g_assert_cmpuint(gn_evacuations_count(set), ==, 3);
	g_assert_cmpstr(gn_evacuations_get(set, 0)->data_centre, ==, "a");
	g_assert_cmpstr(gn_evacuations_get(set, 2)->data_centre, ==, "c");
	g_assert_cmpuint(gn_evacuations_revision(set), ==, 14);
	g_assert_true(gn_evacuations_contain(set, "b"));
	g_assert_false(gn_evacuations_contain(set, "A"));
	g_assert_false(gn_evacuations_contain(set, NULL));
	talloc_free(set);
}

static void test_withdrawal(void)
{
	gn_evacuations_t *set = create_known(PREFIX "a");
	news_t news = { 0 };

	add(&news, PREFIX "a", NULL, 11);
	add(&news, PREFIX "b", NULL, 12);
	g_assert_true(apply(set, &news, false));
	g_assert_cmpuint(gn_evacuations_count(set), ==, 0);
	talloc_free(set);
}

/* The key-value service has forgotten its history, and the watch has listed the
 * keys again: a key that was deleted meanwhile does not stay. */
static void test_snapshot_removes_what_it_lacks(void)
{
	gn_evacuations_t *set = create_known(PREFIX "a");
	news_t news = { 0 };

	add(&news, PREFIX "b", "{}", 20);
	g_assert_true(apply(set, &news, true));
	g_assert_false(gn_evacuations_contain(set, "a"));
	g_assert_true(gn_evacuations_contain(set, "b"));
	talloc_free(set);
}

/* Set and withdrawn within a second: one update may hold both, or only the
 * deletion. */
static void test_short_evacuation(void)
{
	gn_evacuations_t *set = create_known(NULL);
	news_t both = { 0 };
	news_t deletion = { 0 };

	add(&both, PREFIX "a", "{}", 11);
	add(&both, PREFIX "a", NULL, 12);
	apply(set, &both, false);
	g_assert_cmpuint(gn_evacuations_count(set), ==, 0);
	add(&deletion, PREFIX "a", NULL, 13);
	g_assert_false(apply(set, &deletion, false));
	g_assert_cmpuint(gn_evacuations_revision(set), ==, 13);
	talloc_free(set);
}

/* Guards against a lagging replica of the service that undoes a change. */
static void test_older_revisions_change_nothing(void)
{
	gn_evacuations_t *set = create_known(PREFIX "a");
	news_t old_snapshot = { .update.revision = 9 };
	news_t old_deletion = { 0 };
	news_t late_deletion = { 0 };

	g_assert_false(apply(set, &old_snapshot, true));
	add(&old_deletion, PREFIX "a", NULL, 8);
	g_assert_false(apply(set, &old_deletion, false));
	/* The update is newer, but not this entry. */
	add(&late_deletion, PREFIX "a", NULL, 9);
	late_deletion.update.revision = 11;
	g_assert_false(apply(set, &late_deletion, false));
	g_assert_true(gn_evacuations_contain(set, "a"));
	talloc_free(set);
}

/* ======   Input errors   ====== */

static void test_malformed_values_evacuate(void)
{
	static const char *const values[] = {
		"", "x", "[]", "null", "{\"Version\":2}", "{\"Until\":5}", "{",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		gn_evacuations_t *set = create_known(PREFIX "z");
		news_t news = { 0 };

		add(&news, PREFIX "a", values[i], 11);
		g_assert_true(apply(set, &news, false));
		g_assert_true(gn_evacuations_contain(set, "a"));
		g_assert_nonnull(gn_evacuations_get(set, 0)->fault);
		g_assert_null(gn_evacuations_get(set, 1)->fault);
		talloc_free(set);
	}
}

static void test_keys_without_a_name_are_ignored(void)
{
	g_autofree char *long_key =
		g_strdup_printf(PREFIX "%0*d", GN_NAME_MAX + 1, 0);
	const char *keys[] = { PREFIX, PREFIX "a/b", PREFIX "a:b", long_key };
	gn_evacuations_t *set = create_known(PREFIX "z");
	news_t news = { 0 };

	ignored = 0;
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		add(&news, keys[i], "{}", 11 + i);
	add(&news, PREFIX "y", "{}", 20);
	g_assert_true(apply(set, &news, false));
	g_assert_cmpuint(ignored, ==, G_N_ELEMENTS(keys));
	g_assert_cmpuint(gn_evacuations_count(set), ==, 2);
	talloc_free(set);
}

/* ======   Cold workers   ====== */

static void test_cold_worker_warms_up(void)
{
	gn_cold_t cold = { 0 };
	uint64_t half_us = 2000 * GN_US_PER_MS;

	g_assert_cmpfloat(gn_cold_get_slowness(&cold, 0, NOW_US), ==, 1);
	gn_cold_record(&cold, 4000, NOW_US);
	g_assert_cmpfloat(gn_cold_get_slowness(&cold, 0, NOW_US), ==, 2);
	g_assert_cmpfloat(gn_cold_get_slowness(&cold, 0, NOW_US + half_us), ==,
			  1.5);
	/* The next heartbeat says less, and does not begin anew. */
	gn_cold_record(&cold, 1000, NOW_US + 3000 * GN_US_PER_MS);
	g_assert_cmpfloat(
		gn_cold_get_slowness(&cold, 0, NOW_US + 3000 * GN_US_PER_MS),
		==, 1.25);
	g_assert_cmpfloat(gn_cold_get_slowness(&cold, 0, NOW_US + 2 * half_us),
			  ==, 1);
	gn_cold_record(&cold, 0, NOW_US + 2 * half_us);
	g_assert_cmpfloat(gn_cold_get_slowness(&cold, 0, NOW_US + 2 * half_us),
			  ==, 1);
}

static void test_measured_slowness_counts_if_higher(void)
{
	gn_cold_t cold = { 0 };

	gn_cold_record(&cold, 4000, NOW_US);
	g_assert_cmpfloat(gn_cold_get_slowness(&cold, 1.4, NOW_US), ==, 2);
	g_assert_cmpfloat(gn_cold_get_slowness(&cold, 3, NOW_US), ==, 3);
}

/* ======   Messages   ====== */

/* Guards against descriptors of the message code that do not fit the messages. */
static void test_fields_survive_the_wire(void)
{
	Gn__WorkerReport report = GN__WORKER_REPORT__INIT;
	Gn__WorkerOrders orders = GN__WORKER_ORDERS__INIT;
	uint8_t data[64];
	Gn__WorkerReport *report_read;
	Gn__WorkerOrders *orders_read;

	report.cold_left_ms = 1250;
	report.crashed = true;
	report_read = gn__worker_report__unpack(
		NULL, gn__worker_report__pack(&report, data), data);
	g_assert_cmpuint(report_read->cold_left_ms, ==, 1250);
	g_assert_true(report_read->crashed);
	gn__worker_report__free_unpacked(report_read, NULL);
	orders.evacuated = true;
	orders.basis = 3;
	orders_read = gn__worker_orders__unpack(
		NULL, gn__worker_orders__pack(&orders, data), data);
	g_assert_true(orders_read->evacuated);
	g_assert_cmpuint(orders_read->basis, ==, 3);
	g_assert_false(orders_read->leave_stored);
	gn__worker_orders__free_unpacked(orders_read, NULL);
}

static void check_names(const ProtobufCMessageDescriptor *descriptor)
{
	for (unsigned i = 0; i < descriptor->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &descriptor->fields[i];

		g_assert_true(protobuf_c_message_descriptor_get_field_by_name(
				      descriptor, field->name) == field);
		g_assert_true(protobuf_c_message_descriptor_get_field(
				      descriptor, field->id) == field);
	}
}

static void test_descriptors_are_sorted(void)
{
	check_names(&gn__worker_report__descriptor);
	check_names(&gn__worker_orders__descriptor);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/evacuation/nothing-starts-before-the-set-is-read",
			test_nothing_starts_before_the_set_is_read);
	g_test_add_func("/evacuation/nothing-starts-on-an-old-set",
			test_nothing_starts_on_an_old_set);
	g_test_add_func("/evacuation/ages-add-up-to-the-bound",
			test_ages_add_up_to_the_bound);
	g_test_add_func("/evacuation/several-data-centres",
			test_several_data_centres);
	g_test_add_func("/evacuation/withdrawal", test_withdrawal);
	g_test_add_func("/evacuation/snapshot-removes-what-it-lacks",
			test_snapshot_removes_what_it_lacks);
	g_test_add_func("/evacuation/short-evacuation", test_short_evacuation);
	g_test_add_func("/evacuation/older-revisions-change-nothing",
			test_older_revisions_change_nothing);
	g_test_add_func("/evacuation/malformed-values-evacuate",
			test_malformed_values_evacuate);
	g_test_add_func("/evacuation/keys-without-a-name-are-ignored",
			test_keys_without_a_name_are_ignored);
	g_test_add_func("/cold/cold-worker-warms-up",
			test_cold_worker_warms_up);
	g_test_add_func("/cold/measured-slowness-counts-if-higher",
			test_measured_slowness_counts_if_higher);
	g_test_add_func("/evacuation-wire/fields-survive-the-wire",
			test_fields_survive_the_wire);
	g_test_add_func("/evacuation-wire/descriptors-are-sorted",
			test_descriptors_are_sorted);
	return g_test_run();
}
