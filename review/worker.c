/*
 * A stand-in of a worker for the cases of this folder, after PROTOCOL.md.
 *
 * It registers at an executor by heartbeats, guards its capacity, and runs each
 * task for the time that its Spec begins with ("ms=N", 0: for ever), under the
 * lease that calls give it. With "save=LEN" in the Spec, a task has a new checkpoint
 * of that length each 2 s (CheckpointS). POST /mode with "fail-starts" lets it answer 400 to each start, and
 * with "sound" ends that; this and the journal are for the test alone.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define HOLD_MAX_MS 10000
#define STOP_MS 100
#define BEAT_MS 1000
#define LISTED_MAX 500
#define SAVE_MS 2000
#define SAVED_SIZE 256

typedef struct run_s {
	char task[64];
	long long attempt;
	long long closed; /* highest attempt that was stopped or has ended */
	int running;
	int saves;
	long long cpu; /* by the job's step, see find_cpu() */
	long long begun_ms;
	long long end_ms; /* -1: never by itself */
	const char *how;
	char saved[SAVED_SIZE];
} run_t;

typedef struct end_s {
	long long number;
	char task[64];
	long long attempt;
	const char *how;
	char saved[SAVED_SIZE];
} end_t;

static const char *port, *beat, *id, *zone, *labels = "a,r1", *journal;
static long long cpu = 32000, mem = 125000;
static long long born_ms, origin_ms, fence, lease_ms, last_end, sequence;
static int fails_starts, draining, is_lapsed;
static GHashTable *runs;
static GArray *ends;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static FILE *out;

static long long now_of(clockid_t clock)
{
	struct timespec at;

	clock_gettime(clock, &at);
	return at.tv_sec * 1000LL + at.tv_nsec / 1000000;
}

static long long clock_ms(void)
{
	return now_of(CLOCK_MONOTONIC) - origin_ms + 1;
}

static void note(const char *what, const char *task, long long attempt,
		 const char *detail)
{
	fprintf(out, "%lld %s %s %s %lld %s\n", now_of(CLOCK_REALTIME), id,
		what, task, attempt, detail);
	fflush(out);
}

static void end_run(run_t *run, const char *how)
{
	end_t end = { .number = ++last_end, .attempt = run->attempt, .how = how };

	g_strlcpy(end.task, run->task, sizeof(end.task));
	g_strlcpy(end.saved, run->saved, sizeof(end.saved));
	run->running = 0;
	run->closed = MAX(run->closed, run->attempt);
	g_array_append_val(ends, end);
	note("end", run->task, run->attempt, how);
	pthread_cond_broadcast(&changed);
}

static void update(void)
{
	long long now = clock_ms();
	GHashTableIter iter;
	gpointer value;

	if (lease_ms && now > lease_ms && !is_lapsed) {
		is_lapsed = 1;
		note("lapse", "-", 0, "-");
	}
	g_hash_table_iter_init(&iter, runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		run_t *run = value;

		if (!run->running)
			continue;
		if (run->saves && now - run->begun_ms >= SAVE_MS)
			snprintf(run->saved, sizeof(run->saved), "%0*llx",
				 run->saves, (now - run->begun_ms) / SAVE_MS);
		if (run->end_ms >= 0 && now >= run->end_ms)
			end_run(run, run->how);
		else if (is_lapsed)
			end_run(run, "lapsed");
	}
}

static long long used_cpu(void)
{
	GHashTableIter iter;
	gpointer value;
	long long used = 0;

	g_hash_table_iter_init(&iter, runs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((run_t *)value)->running)
			used += ((run_t *)value)->cpu;
	return used;
}

static long long number(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static void extend(const json_t *order)
{
	long long until = number(order, "DeadlineMs");

	until = MIN(until, clock_ms() + HOLD_MAX_MS);
	if (until > lease_ms) {
		lease_ms = until;
		is_lapsed = 0;
	}
}

static run_t *get_run(const char *task)
{
	run_t *run = g_hash_table_lookup(runs, task);

	if (run)
		return run;
	run = g_new0(run_t, 1);
	g_strlcpy(run->task, task, sizeof(run->task));
	g_hash_table_insert(runs, run->task, run);
	return run;
}

static const char *start(const json_t *order)
{
	const char *spec = json_string_value(json_object_get(order, "Spec"));
	const char *at = spec ? strstr(spec, "cpu=") : NULL;
	run_t *run = get_run(json_string_value(json_object_get(order, "Task")));
	long long attempt = number(order, "Attempt");
	long long ms = spec && !strncmp(spec, "ms=", 3) ? atoll(spec + 3) : 0;

	if (number(order, "DeadlineMs") <= clock_ms())
		return "late";
	extend(order);
	if (run->running && attempt == run->attempt)
		return NULL;
	if (run->running || attempt <= run->closed)
		return "old";
	run->cpu = at ? atoll(at + 4) : 0;
	if (used_cpu() + run->cpu > cpu)
		return "room";
	run->attempt = attempt;
	run->running = 1;
	at = spec ? strstr(spec, "save=") : NULL;
	run->saves = at ? MIN(atoi(at + 5), SAVED_SIZE - 1) : 0;
	run->begun_ms = clock_ms();
	run->end_ms = ms ? clock_ms() + ms : -1;
	run->how = "done";
	note("start", run->task, attempt, "-");
	return NULL;
}

static void stop(const json_t *order)
{
	run_t *run = get_run(json_string_value(json_object_get(order, "Task")));
	long long attempt = number(order, "Attempt");

	run->closed = MAX(run->closed, attempt);
	if (!run->running || attempt != run->attempt)
		return;
	run->end_ms = clock_ms() + STOP_MS;
	run->how = "stopped";
}

static json_t *hold(const json_t *order, json_t *answer)
{
	long long seen = number(order, "LastSeen");
	json_t *running = json_array();
	json_t *ended = json_array();
	struct timespec until;
	GHashTableIter iter;
	gpointer value;

	extend(order);
	while (ends->len && g_array_index(ends, end_t, 0).number <= seen) {
		const end_t *end = &g_array_index(ends, end_t, 0);

		note("noted", end->task, end->attempt, end->how);
		g_array_remove_index(ends, 0);
	}
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += number(order, "WaitMs") % 1000 * 1000000;
	until.tv_sec += number(order, "WaitMs") / 1000 +
			until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	while (number(order, "WaitMs") && !ends->len)
		if (pthread_cond_timedwait(&changed, &lock, &until))
			break;
	g_hash_table_iter_init(&iter, runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const run_t *run = value;

		if (run->running)
			json_array_append_new(
				running,
				json_pack("[s, I, s, i, i]", run->task,
					  (json_int_t)run->attempt, run->saved,
					  100, 0));
	}
	for (guint i = 0; i < ends->len && i < LISTED_MAX; i++) {
		const end_t *end = &g_array_index(ends, end_t, i);

		json_array_append_new(
			ended, json_pack("[I, s, I, s, s]",
					 (json_int_t)end->number, end->task,
					 (json_int_t)end->attempt, end->how,
					 end->saved));
	}
	json_object_set_new(answer, "Running", running);
	json_object_set_new(answer, "EndedRuns", ended);
	return answer;
}

static json_t *serve_call(const char *url, const char *instance,
			  const GString *body, unsigned *status)
{
	json_t *order = json_loadb(body->str, body->len, 0, NULL);
	json_t *answer = json_pack("{s:I}", "born", (json_int_t)born_ms);
	const char *reason = NULL;

	*status = 200;
	update();
	if (!strcmp(url, "/mode")) {
		fails_starts = !strcmp(body->str, "fail-starts");
		draining |= !strcmp(body->str, "drain");
		note("mode", "-", 0, body->str);
	} else if (instance && strcmp(instance, id) != 0) {
		*status = 421;
	} else if (fails_starts && !strcmp(url, "/run-start")) {
		note("refused", json_string_value(json_object_get(order, "Task")),
		     number(order, "Attempt"), "400");
		*status = 400;
	} else if (number(order, "FenceToken") < fence) {
		reason = "fence";
	} else {
		fence = number(order, "FenceToken");
		if (!strcmp(url, "/run-start"))
			reason = start(order);
		else if (!strcmp(url, "/run-stop"))
			stop(order);
		else if (!strcmp(url, "/hold"))
			hold(order, answer);
	}
	if (reason) {
		*status = 409;
		json_object_set_new(answer, "Reason", json_string(reason));
	}
	json_object_set_new(answer, "ClockMs", json_integer(clock_ms()));
	json_decref(order);
	return answer;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **context)
{
	GString *body = *context;
	struct MHD_Response *response;
	enum MHD_Result result;
	unsigned status;
	json_t *answer;
	char *text;

	(void)cls;
	(void)method;
	(void)version;
	if (!body) {
		*context = g_string_new(NULL);
		return MHD_YES;
	}
	if (*size) {
		g_string_append_len(body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&lock);
	answer = serve_call(url,
			    MHD_lookup_connection_value(
				    connection, MHD_HEADER_KIND,
				    "X-Gypsumnotch-Target-Instance"),
			    body, &status);
	pthread_mutex_unlock(&lock);
	g_string_free(body, TRUE);
	*context = NULL;
	text = json_dumps(answer, JSON_COMPACT);
	json_decref(answer);
	response = MHD_create_response_from_buffer(strlen(text), text,
						   MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, "Content-Type", "application/json");
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static size_t discard(char *data, size_t size, size_t count, void *arg)
{
	(void)data;
	(void)arg;
	return size * count;
}

static void send_heartbeat(void)
{
	char url[128], address[64];
	json_t *all = json_array();
	char **parts = g_strsplit(labels, ",", 0);
	struct curl_slist *headers =
		curl_slist_append(NULL, "Content-Type: application/json");
	CURL *easy = curl_easy_init();
	json_t *body;
	char *text;

	for (int i = 0; parts[i]; i++)
		json_array_append_new(all, json_string(parts[i]));
	g_strfreev(parts);
	snprintf(address, sizeof(address), "127.0.0.1:%s", port);
	snprintf(url, sizeof(url), "http://%s/instances/%s/heartbeat", beat, id);
	body = json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:s, s:i, "
			 "s:{s:I, s:I, s:i}, s:o, s:I, s:I, s:I}",
			 "Service", "huvo11a", "Address", address, "Zone", zone,
			 "Machine", id, "Version", "v1", "Slots", 8, "State",
			 draining ? "draining" : "ready", "ColdLeftMs", 0,
			 "Capacity", "Cpu", (json_int_t)cpu, "MemMb",
			 (json_int_t)mem, "Gpu", 0, "Labels", all, "ClockMs",
			 (json_int_t)clock_ms(), "Seq", (json_int_t)++sequence,
			 "born", (json_int_t)born_ms);
	text = json_dumps(body, JSON_COMPACT);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, text);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 1000L);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard);
	curl_easy_perform(easy);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	free(text);
	json_decref(body);
}

static void *run_updates(void *arg)
{
	(void)arg;
	for (;;) {
		g_usleep(10000);
		pthread_mutex_lock(&lock);
		update();
		pthread_mutex_unlock(&lock);
	}
	return NULL;
}

static const char *get_option(int argc, char **argv, const char *name,
			      const char *preset)
{
	for (int i = 1; i + 1 < argc; i += 2)
		if (!strcmp(argv[i], name))
			return argv[i + 1];
	return preset;
}

int main(int argc, char **argv)
{
	pthread_t thread;

	port = get_option(argc, argv, "--port", NULL);
	beat = get_option(argc, argv, "--beat", NULL);
	id = get_option(argc, argv, "--id", NULL);
	zone = get_option(argc, argv, "--zone", "reykjavik-a");
	labels = get_option(argc, argv, "--labels", labels);
	journal = get_option(argc, argv, "--journal", "/dev/null");
	cpu = atoll(get_option(argc, argv, "--cpu", "32000"));
	if (!port || !beat || !id)
		return 2;
	out = fopen(journal, "ae");
	if (!out)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	born_ms = now_of(CLOCK_REALTIME);
	origin_ms = now_of(CLOCK_MONOTONIC);
	runs = g_hash_table_new(g_str_hash, g_str_equal);
	ends = g_array_new(FALSE, FALSE, sizeof(end_t));
	{
		struct sockaddr_in address = { .sin_family = AF_INET };

		address.sin_port = htons((unsigned short)atoi(port));
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (!MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD |
					      MHD_USE_THREAD_PER_CONNECTION,
				      0, NULL, NULL, on_request, NULL,
				      MHD_OPTION_SOCK_ADDR, &address,
				      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
				      MHD_OPTION_END))
			return 2;
	}
	note("born", "-", 0, labels);
	pthread_create(&thread, NULL, run_updates, NULL);
	for (;;) {
		send_heartbeat();
		g_usleep(BEAT_MS * 1000);
	}
}
