/**
 * @file bench_config.c
 * @brief Measures the time to parse and check the inventory and the rules.
 */
#include <glib.h>
#include <stdio.h>
#include <sys/resource.h>

#include "common/clock.h"
#include "common/str.h"
#include "config/inventory.h"
#include "config/rules.h"

#define HOSTS_PER_RACK 3
#define DATA_CENTRES 25
#define TEAMS 73
#define DRAIN_EVERY 100
#define RUNS 5

static const unsigned sizes[] = { 11, 1000, 18000 };

static unsigned get_data_centre(unsigned host)
{
	return host / HOSTS_PER_RACK % DATA_CENTRES;
}

static unsigned get_rack(unsigned host)
{
	return host / HOSTS_PER_RACK;
}

static GString *write_inventory(unsigned hosts)
{
	GString *text = g_string_new("one_way_us = 1000\n");

	for (unsigned i = 0; i < DATA_CENTRES; i++)
		g_string_append_printf(text,
				       "[[data_centre]]\nname = \"dc-%u\"\n"
				       "region = \"region-%u\"\n",
				       i, i / 3);
	for (unsigned i = 0; i < hosts; i++)
		g_string_append_printf(
			text,
			"[[host]]\nname = \"host-%05u\"\n"
			"data_centre = \"dc-%u\"\nrack = \"rack-%u\"\n"
			"cores = 32\nmemory_mb = 125000\naccelerators = 1\n",
			i, get_data_centre(i), get_rack(i));
	return text;
}

static GString *write_rules(unsigned hosts)
{
	GString *text = g_string_new("[weights]\ntail = 10\n");

	for (unsigned i = 0; i < TEAMS; i++)
		g_string_append_printf(text,
				       "[[team]]\nname = \"team-%u\"\n"
				       "quota_tasks = 100\n",
				       i);
	for (unsigned i = 0; i < hosts; i += DRAIN_EVERY)
		g_string_append_printf(text,
				       "[[drain]]\nhost = \"host-%05u\"\n"
				       "[[window]]\ndata_centre = \"dc-%u\"\n"
				       "rack = \"rack-%u\"\n"
				       "begin = \"2027-02-10T06:00:00Z\"\n"
				       "end = \"2027-02-10T12:00:00Z\"\n",
				       i, get_data_centre(i), get_rack(i));
	return text;
}

static uint64_t get_cpu_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (uint64_t)usage.ru_utime.tv_sec * GN_US_PER_S +
	       (uint64_t)usage.ru_utime.tv_usec +
	       (uint64_t)usage.ru_stime.tv_sec * GN_US_PER_S +
	       (uint64_t)usage.ru_stime.tv_usec;
}

/**
 * Returns the peak memory of the process in MB. It belongs to the current size,
 * because sizes only grow.
 */
static double get_peak_mb(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)usage.ru_maxrss / 1024;
}

static void measure(unsigned hosts)
{
	GString *inventory_text = write_inventory(hosts);
	GString *rules_text = write_rules(hosts);
	gn_inventory_t *inventory = NULL;
	gn_rules_t *rules = NULL;
	gn_error_t error = { 0 };
	uint64_t inventory_us = 0;
	uint64_t rules_us = 0;
	size_t bytes = 0;

	for (int i = 0; i < RUNS; i++) {
		uint64_t start_us = get_cpu_us();
		uint64_t middle_us;

		gn_inventory_parse(NULL, "bench",
				   gn_str_from(inventory_text->str), &inventory,
				   &error);
		g_assert_cmpstr(error.detail, ==, "");
		middle_us = get_cpu_us();
		gn_rules_parse(NULL, "bench", gn_str_from(rules_text->str),
			       inventory, &rules, &error);
		g_assert_cmpstr(error.detail, ==, "");
		rules_us += get_cpu_us() - middle_us;
		inventory_us += middle_us - start_us;
		bytes = talloc_total_size(inventory);
		talloc_free(rules);
		talloc_free(inventory);
	}
	printf("%6u %16zu %12.2f %14zu %12zu %9.2f %8.1f\n", hosts,
	       inventory_text->len, (double)inventory_us / RUNS / GN_US_PER_MS,
	       bytes, rules_text->len, (double)rules_us / RUNS / GN_US_PER_MS,
	       get_peak_mb());
	g_string_free(inventory_text, TRUE);
	g_string_free(rules_text, TRUE);
}

int main(void)
{
	printf("parse and check, processor time, mean of %d runs\n", RUNS);
	printf(" hosts  inventory_bytes inventory_ms inventory_kept  "
	       "rules_bytes  rules_ms  peak_mb\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i]);
	return 0;
}
