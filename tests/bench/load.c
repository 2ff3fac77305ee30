/**
 * @file load.c
 * @brief An HTTP load generator that prints rate and latency percentiles.
 *
 * Runs in a closed loop or at a fixed rate. Requests and connections are
 * bounded, and only loopback addresses are allowed.
 */
#include <argtable2.h>
#include <curl/curl.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"

#define CONNECTIONS_MAX 512
#define REQUESTS_MAX 2000000
#define BODY "0123456789abcdef0123456789abcdef"

typedef struct slot_s {
	CURL *easy;
	uint64_t started_us;
	uint64_t due_us; /**< next request, 0 if one is outstanding */
} slot_t;

static gn_clock_t boot_clock;
static CURLM *multi;
static uint64_t *latencies_us;
static size_t done_count;
static size_t started_count;
static size_t failed_count;

static size_t discard_data(char *data, size_t size, size_t count, void *arg)
{
	(void)data;
	(void)arg;
	return size * count;
}

static int compare_latencies(const void *a, const void *b)
{
	const uint64_t left = *(const uint64_t *)a;
	const uint64_t right = *(const uint64_t *)b;

	return (left > right) - (left < right);
}

static void start_request(slot_t *slot)
{
	slot->started_us = gn_clock_now_us(&boot_clock);
	slot->due_us = 0;
	started_count++;
	curl_multi_add_handle(multi, slot->easy);
}

static void open_slot(slot_t *slot, const char *url, struct curl_slist *headers)
{
	slot->easy = curl_easy_init();
	curl_easy_setopt(slot->easy, CURLOPT_URL, url);
	curl_easy_setopt(slot->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(slot->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(slot->easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(slot->easy, CURLOPT_POSTFIELDS, BODY);
	curl_easy_setopt(slot->easy, CURLOPT_WRITEFUNCTION, discard_data);
	curl_easy_setopt(slot->easy, CURLOPT_TIMEOUT_MS, 20000L);
	curl_easy_setopt(slot->easy, CURLOPT_PRIVATE, slot);
}

static void on_completed(const CURLMsg *message, uint64_t pause_us)
{
	slot_t *slot = NULL;
	long status = 0;
	uint64_t now_us = gn_clock_now_us(&boot_clock);

	curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &slot);
	curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE,
			  &status);
	if (message->data.result != CURLE_OK || status != 200)
		failed_count++;
	latencies_us[done_count++] = now_us - slot->started_us;
	curl_multi_remove_handle(multi, slot->easy);
	slot->due_us = slot->started_us + pause_us;
	if (slot->due_us <= now_us)
		slot->due_us = now_us;
}

static void run(slot_t *slots, size_t connections, size_t total,
		uint64_t pause_us)
{
	CURLMsg *message;
	int running;
	int left;

	while (done_count < total) {
		uint64_t now_us = gn_clock_now_us(&boot_clock);
		int wait_ms = 100;

		for (size_t i = 0; i < connections; i++) {
			if (!slots[i].due_us || started_count == total)
				continue;
			if (slots[i].due_us <= now_us)
				start_request(&slots[i]);
			else
				wait_ms = 1;
		}
		curl_multi_perform(multi, &running);
		while ((message = curl_multi_info_read(multi, &left)))
			if (message->msg == CURLMSG_DONE)
				on_completed(message, pause_us);
		if (running == (int)connections || wait_ms == 1)
			curl_multi_poll(multi, NULL, 0, wait_ms, NULL);
	}
}

static double percentile_ms(size_t per_mille)
{
	size_t index = done_count * per_mille / 1000;

	return (double)latencies_us[index] / GN_US_PER_MS;
}

static void report(const char *name, uint64_t elapsed_us)
{
	qsort(latencies_us, done_count, sizeof(*latencies_us),
	      compare_latencies);
	printf("%-28s %8.0f %9.3f %9.3f %9.3f %7zu %7zu\n", name,
	       (double)done_count * GN_US_PER_S / (double)elapsed_us,
	       percentile_ms(500), percentile_ms(990), percentile_ms(999),
	       done_count, failed_count);
}

static void measure(const char *name, const char *url, size_t connections,
		    size_t total, unsigned rate, struct curl_slist *headers)
{
	slot_t *slots = calloc(connections, sizeof(*slots));
	uint64_t pause_us =
		rate ? (uint64_t)connections * GN_US_PER_S / rate : 0;
	uint64_t begin_us = gn_clock_now_us(&boot_clock);

	latencies_us = calloc(total, sizeof(*latencies_us));
	multi = curl_multi_init();
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, (long)connections);
	for (size_t i = 0; i < connections; i++) {
		open_slot(&slots[i], url, headers);
		slots[i].due_us = begin_us + 1 + pause_us * i / connections;
	}
	run(slots, connections, total, pause_us);
	report(name, gn_clock_now_us(&boot_clock) - begin_us);
	for (size_t i = 0; i < connections; i++)
		curl_easy_cleanup(slots[i].easy);
	curl_multi_cleanup(multi);
	free(slots);
	free(latencies_us);
}

int main(int argc, char **argv)
{
	struct arg_str *name =
		arg_str1(NULL, "name", "TEXT", "name of the row");
	struct arg_str *url =
		arg_str1(NULL, "url", "URL", "loopback URL, http://127...");
	struct arg_int *connections =
		arg_int1("c", "connections", "N", "1..512");
	struct arg_int *requests = arg_int1("n", "requests", "N", "1..2000000");
	struct arg_int *rate = arg_int0("r", "rate", "N",
					"requests per second; 0: closed loop");
	struct arg_str *header =
		arg_strn("H", "header", "TEXT", 0, 8, "request header");
	struct arg_end *end = arg_end(4);
	void *table[] = { name, url, connections, requests, rate, header, end };
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");

	if (arg_parse(argc, argv, table) ||
	    strncmp(url->sval[0], "http://127.", 11) != 0 ||
	    connections->ival[0] < 1 ||
	    connections->ival[0] > CONNECTIONS_MAX || requests->ival[0] < 1 ||
	    requests->ival[0] > REQUESTS_MAX) {
		arg_print_errors(stderr, end, "load");
		return 2;
	}
	gn_clock_init_boot(&boot_clock);
	for (int i = 0; i < header->count; i++)
		headers = curl_slist_append(headers, header->sval[i]);
	measure(name->sval[0], url->sval[0], (size_t)connections->ival[0],
		(size_t)requests->ival[0],
		rate->count ? (unsigned)rate->ival[0] : 0, headers);
	curl_slist_free_all(headers);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}
