/**
 * @file stand-3.c
 * @brief Stand-ins of the third review: a worker, and a client's calls.
 *
 * stand-3 worker OPTIONS runs a worker as the users' PROTOCOL.md describes it. The
 * spec of a job says how its tasks end, "ms=TIME how=END first=N": a run of an
 * attempt up to N ends as END after TIME on the worker's clock, a later one runs
 * until it is stopped; with N = 0 each run ends so, with TIME = 0 none. Each start
 * and end is appended to the journal: time (ms, boot clock), worker, event, task,
 * attempt, detail.
 *
 * --fails FROM:TO: all that it starts between these times, in ms after its start,
 * ends as failed within 100 ms.
 *
 * --gangs FOLDER: the tasks of a step are a gang. One that fails leaves a file in the
 * folder, by which the others of that run end as broken.
 *
 * --late FROM:TO --held FOLDER: calls to start a task that come between these times,
 * the first N of them with --late-first N, get no answer and are carried out late: by
 * the next process under the ID, if that is there 2 to 12 s after they came, or else
 * 6 s after.
 *
 * POST /leave lets the worker report that it drains, serve for 2.5 s after that was
 * acknowledged, deregister and end.
 *
 * stand-3 call METHOD IP:PORT HOST PATH [BODY] sends one request and prints the
 * status and the body; the status is 0 without an answer.
 *
 * stand-3 now prints the boot clock in ms.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <inttypes.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define RUNS_MAX 4096
#define ENDS_MAX 8192
#define LISTED_MAX 500
#define WAIT_MAX_MS 2000
#define TICK_US 5000
#define LEAVE_MS 2500

static uint64_t read_ms(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

/* ======   Client   ====== */

static int connect_to(const char *address, unsigned timeout_ms)
{
	struct timeval limit = { timeout_ms / 1000,
				 (timeout_ms % 1000) * 1000 };
	struct sockaddr_in to = { .sin_family = AF_INET };
	char host[64];
	char *colon;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	snprintf(host, sizeof(host), "%s", address);
	colon = strchr(host, ':');
	if (!colon || fd < 0)
		exit(2);
	*colon = '\0';
	to.sin_port = htons((uint16_t)atoi(colon + 1));
	inet_pton(AF_INET, host, &to.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (!connect(fd, (struct sockaddr *)&to, sizeof(to)))
		return fd;
	close(fd);
	return -1;
}

/* Returns the status, 0 without an answer; copies the body to @p answer. */
static unsigned call(const char *method, const char *address, const char *host,
		     const char *path, const char *body, unsigned timeout_ms,
		     char *answer, size_t size)
{
	static _Thread_local char text[70000];
	int fd = connect_to(address, timeout_ms);
	size_t len = 0;
	unsigned status = 0;
	ssize_t got;
	char *start;

	*answer = '\0';
	if (fd < 0)
		return 0;
	len = (size_t)snprintf(
		text, sizeof(text),
		"%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
		"X-Gypsumnotch-Request-Deadline: %" PRIu64 "\r\n"
		"Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
		method, path, host, read_ms(CLOCK_REALTIME) + timeout_ms,
		strlen(body), body);
	if (send(fd, text, len, MSG_NOSIGNAL) != (ssize_t)len) {
		close(fd);
		return 0;
	}
	len = 0;
	while (len + 1 < sizeof(text) &&
	       (got = recv(fd, text + len, sizeof(text) - 1 - len, 0)) > 0)
		len += (size_t)got;
	close(fd);
	text[len] = '\0';
	start = strstr(text, "\r\n\r\n");
	if (!start || sscanf(text, "HTTP/1.1 %u", &status) != 1)
		return 0;
	snprintf(answer, size, "%s", start + 4);
	return status;
}

/* ======   Worker   ====== */

typedef struct run_s {
	char task[64];
	uint64_t attempt;
	uint64_t closed;
	bool running;
	bool stopping;
	uint64_t end_ms; /* 0: it has none */
	char how[16];
} run_t;

typedef struct end_s {
	uint64_t number;
	char task[64];
	uint64_t attempt;
	char how[16];
} end_t;

static struct {
	const char *id;
	const char *beat;
	const char *service;
	const char *zone;
	const char *rack;
	const char *kind;
	char address[32];
	unsigned cpu;
	unsigned hold_max_ms;
	unsigned stop_ms;
	unsigned beat_ms;
	unsigned fails_from_ms;
	unsigned fails_to_ms;
	const char *gangs;
	unsigned late_from_ms;
	unsigned late_to_ms;
	unsigned late_first; /* 0: all of them */
	const char *held; /* folder of the calls that are carried out late */
	unsigned held_count;
	int journal;
	bool draining;
	uint64_t born_ms;
	uint64_t origin_ms;
	uint64_t fence;
	uint64_t lease_ms;
	uint64_t sequence;
	uint64_t last_end;
	run_t runs[RUNS_MAX];
	unsigned run_count;
	end_t ends[ENDS_MAX];
	unsigned end_count;
	pthread_mutex_t lock;
} w;

static uint64_t clock_ms(void)
{
	return read_ms(CLOCK_BOOTTIME) - w.origin_ms;
}

static void note(uint64_t at_ms, const char *event, const char *task,
		 uint64_t attempt, const char *detail)
{
	char line[256];
	int len = snprintf(line, sizeof(line),
			   "%" PRIu64 " %s %s %s %" PRIu64 " %s\n", at_ms, w.id,
			   event, task, attempt, detail);

	if (write(w.journal, line, (size_t)len) != len)
		abort();
}

static void end_run(run_t *run, const char *how, uint64_t at_ms)
{
	end_t *end = &w.ends[w.end_count];

	if (w.end_count == ENDS_MAX)
		abort();
	w.end_count++;
	run->running = false;
	if (run->closed < run->attempt)
		run->closed = run->attempt;
	end->number = ++w.last_end;
	snprintf(end->task, sizeof(end->task), "%s", run->task);
	end->attempt = run->attempt;
	snprintf(end->how, sizeof(end->how), "%s", how);
	note(w.origin_ms + at_ms, "end", run->task, run->attempt, how);
}

/* The name of a gang's run: its step and the attempt. */
static void name_gang(const run_t *run, char *path, size_t size)
{
	const char *dot = strrchr(run->task, '.');

	snprintf(path, size, "%s/%.*s-%" PRIu64, w.gangs,
		 (int)(dot - run->task), run->task, run->attempt);
}

/* Tells or learns that another member of the run has failed. */
static bool is_gang_broken(const run_t *run, bool fails)
{
	char path[512];

	if (!w.gangs)
		return false;
	name_gang(run, path, sizeof(path));
	if (fails)
		close(open(path, O_CREAT | O_WRONLY, 0644));
	return !access(path, F_OK);
}

static void tick(void)
{
	uint64_t now = clock_ms();

	for (unsigned i = 0; i < w.run_count; i++) {
		run_t *run = &w.runs[i];

		if (!run->running)
			continue;
		if (run->end_ms && now >= run->end_ms &&
		    run->end_ms <= w.lease_ms) {
			is_gang_broken(run, !strcmp(run->how, "failed"));
			end_run(run, run->how, run->end_ms);
		} else if (now <= w.lease_ms && strcmp(run->how, "failed") != 0 &&
			   is_gang_broken(run, false)) {
			end_run(run, "broken", now);
		}
		if (run->running && now > w.lease_ms)
			end_run(run, "lapsed", w.lease_ms);
	}
}

static const char *get_text(const json_t *body, const char *name)
{
	const char *text = json_string_value(json_object_get(body, name));

	return text ? text : "";
}

static uint64_t get_number(const json_t *body, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(body, name));
}

static run_t *get_run(const char *task)
{
	run_t *run;

	for (unsigned i = 0; i < w.run_count; i++)
		if (!strcmp(w.runs[i].task, task))
			return &w.runs[i];
	if (w.run_count == RUNS_MAX)
		abort();
	run = &w.runs[w.run_count++];
	snprintf(run->task, sizeof(run->task), "%s", task);
	return run;
}

static void extend_lease(const json_t *body)
{
	uint64_t until = get_number(body, "DeadlineMs");
	uint64_t max = clock_ms() + w.hold_max_ms;

	if (until > max)
		until = max;
	if (until > w.lease_ms)
		w.lease_ms = until;
}

static const char *start_run(const json_t *body)
{
	run_t *run = get_run(get_text(body, "Task"));
	uint64_t attempt = get_number(body, "Attempt");
	const char *spec = get_text(body, "Spec");
	unsigned ms = 0;
	unsigned first = 0;
	char how[16] = "done";

	if (get_number(body, "DeadlineMs") <= clock_ms())
		return "late";
	extend_lease(body);
	if (run->running && run->attempt == attempt)
		return NULL;
	if (run->running || attempt <= run->closed)
		return "old";
	sscanf(spec, "ms=%u how=%15s first=%u", &ms, how, &first);
	run->attempt = attempt;
	run->running = true;
	run->stopping = false;
	run->end_ms = ms && (!first || attempt <= first) ? clock_ms() + ms : 0;
	snprintf(run->how, sizeof(run->how), "%s", how);
	if (clock_ms() >= w.fails_from_ms && clock_ms() < w.fails_to_ms) {
		run->end_ms = clock_ms() + 100;
		snprintf(run->how, sizeof(run->how), "failed");
	}
	note(w.origin_ms + clock_ms(), "start", run->task, attempt, "-");
	return NULL;
}

static void stop_run(const json_t *body)
{
	run_t *run = get_run(get_text(body, "Task"));
	uint64_t attempt = get_number(body, "Attempt");

	if (run->closed < attempt)
		run->closed = attempt;
	if (!run->running || run->stopping || run->attempt != attempt)
		return;
	run->stopping = true;
	run->end_ms = clock_ms() + w.stop_ms / 2;
	snprintf(run->how, sizeof(run->how), "stopped");
}

static void forget(uint64_t last_seen)
{
	unsigned kept = 0;

	for (unsigned i = 0; i < w.end_count; i++) {
		if (w.ends[i].number > last_seen)
			w.ends[kept++] = w.ends[i];
		else
			note(w.origin_ms + clock_ms(), "noted", w.ends[i].task,
			     w.ends[i].attempt, w.ends[i].how);
	}
	w.end_count = kept;
}

static void list(json_t *answer)
{
	json_t *running = json_array();
	json_t *ended = json_array();

	for (unsigned i = 0; i < w.run_count; i++)
		if (w.runs[i].running)
			json_array_append_new(
				running,
				json_pack("[s,I,s,i,i]", w.runs[i].task,
					  (json_int_t)w.runs[i].attempt, "",
					  100, 0));
	for (unsigned i = 0; i < w.end_count && i < LISTED_MAX; i++)
		json_array_append_new(
			ended,
			json_pack("[I,s,I,s,s]", (json_int_t)w.ends[i].number,
				  w.ends[i].task, (json_int_t)w.ends[i].attempt,
				  w.ends[i].how, ""));
	json_object_set_new(answer, "Running", running);
	json_object_set_new(answer, "EndedRuns", ended);
}

/* Waits for an end, without the lock. */
static void await_end(uint64_t last_seen, uint64_t wait_ms)
{
	uint64_t until = clock_ms() + (wait_ms < WAIT_MAX_MS ? wait_ms
							     : WAIT_MAX_MS);

	while (clock_ms() < until && !(w.end_count && w.last_end > last_seen)) {
		pthread_mutex_unlock(&w.lock);
		usleep(TICK_US);
		pthread_mutex_lock(&w.lock);
	}
}

static unsigned serve(const char *url, const json_t *body, json_t *answer)
{
	uint64_t fence = get_number(body, "FenceToken");
	const char *reason = NULL;

	if (fence < w.fence) {
		reason = "fence";
	} else if (!strcmp(url, "/run-start")) {
		w.fence = fence;
		reason = start_run(body);
	} else if (!strcmp(url, "/run-stop")) {
		w.fence = fence;
		stop_run(body);
	} else if (!strcmp(url, "/hold")) {
		w.fence = fence;
		extend_lease(body);
		forget(get_number(body, "LastSeen"));
		await_end(get_number(body, "LastSeen"),
			  get_number(body, "WaitMs"));
		json_object_set_new(answer, "born",
				    json_integer((json_int_t)w.born_ms));
		list(answer);
	} else if (strcmp(url, "/pace") != 0) {
		return 404;
	}
	json_object_set_new(answer, "ClockMs",
			    json_integer((json_int_t)clock_ms()));
	if (reason)
		json_object_set_new(answer, "Reason", json_string(reason));
	return reason ? 409 : 200;
}

/* ======   Calls that are carried out late   ====== */

#define LATE_MIN_MS 2000
#define LATE_MS 6000
#define LATE_MAX_MS 12000

/* The next process under the ID finds it by its name. */
static void hold_back(const json_t *body)
{
	char path[512];

	snprintf(path, sizeof(path), "%s/%s.%" PRIu64 ".%u", w.held, w.id,
		 read_ms(CLOCK_BOOTTIME), w.held_count++);
	if (json_dump_file(body, path, JSON_COMPACT))
		abort();
	note(read_ms(CLOCK_BOOTTIME), "unanswered", get_text(body, "Task"),
	     get_number(body, "Attempt"), "-");
}

static void carry_out(const char *path, const char *why)
{
	json_t *body = json_load_file(path, 0, NULL);
	json_t *answer = json_object();

	unlink(path);
	note(read_ms(CLOCK_BOOTTIME), why, get_text(body, "Task"),
	     get_number(body, "Attempt"), "-");
	serve("/run-start", body, answer);
	json_decref(answer);
	json_decref(body);
}

/* Carries out the calls whose age is between these. */
static void carry_out_held(uint64_t min_ms, uint64_t max_ms, const char *why)
{
	size_t len = strlen(w.id);
	struct dirent *entry;
	DIR *folder = w.held ? opendir(w.held) : NULL;

	while (folder && (entry = readdir(folder))) {
		char path[512];
		uint64_t age_ms;

		if (strncmp(entry->d_name, w.id, len) != 0 ||
		    entry->d_name[len] != '.')
			continue;
		age_ms = read_ms(CLOCK_BOOTTIME) -
			 strtoull(entry->d_name + len + 1, NULL, 10);
		snprintf(path, sizeof(path), "%s/%s", w.held, entry->d_name);
		if (age_ms >= min_ms && age_ms <= max_ms)
			carry_out(path, why);
	}
	if (folder)
		closedir(folder);
}

typedef struct text_s {
	char *data;
	size_t len;
} text_t;

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **context)
{
	text_t *text = *context;
	struct MHD_Response *response;
	enum MHD_Result result;
	const char *instance;
	json_t *answer;
	json_t *body;
	unsigned status;
	char *out;

	(void)cls;
	(void)method;
	(void)version;
	if (!text) {
		*context = calloc(1, sizeof(*text));
		return MHD_YES;
	}
	if (*size) {
		text->data = realloc(text->data, text->len + *size);
		memcpy(text->data + text->len, data, *size);
		text->len += *size;
		*size = 0;
		return MHD_YES;
	}
	instance = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
					       "X-Gypsumnotch-Target-Instance");
	body = json_loadb(text->data ? text->data : "", text->len, 0, NULL);
	answer = json_object();
	pthread_mutex_lock(&w.lock);
	tick();
	if (w.held && !strcmp(url, "/run-start") &&
	    clock_ms() >= w.late_from_ms && clock_ms() < w.late_to_ms &&
	    (!w.late_first || w.held_count < w.late_first)) {
		hold_back(body);
		pthread_mutex_unlock(&w.lock);
		json_decref(body);
		json_decref(answer);
		usleep(1000 * 1000);
		return MHD_NO;
	}
	if (!strcmp(url, "/leave")) {
		w.draining = true;
		status = 200;
	} else if (instance && strcmp(instance, w.id) != 0) {
		status = 421;
	} else {
		status = serve(url, body, answer);
	}
	pthread_mutex_unlock(&w.lock);
	json_decref(body);
	out = json_dumps(answer, JSON_COMPACT);
	json_decref(answer);
	response = MHD_create_response_from_buffer(strlen(out), out,
						   MHD_RESPMEM_MUST_FREE);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static void on_completed(void *cls, struct MHD_Connection *connection,
			 void **context, enum MHD_RequestTerminationCode code)
{
	text_t *text = *context;

	(void)cls;
	(void)connection;
	(void)code;
	if (text)
		free(text->data);
	free(text);
}

static void *run_ticks(void *arg)
{
	for (;;) {
		usleep(TICK_US);
		pthread_mutex_lock(&w.lock);
		tick();
		carry_out_held(LATE_MS, LATE_MAX_MS, "late");
		pthread_mutex_unlock(&w.lock);
	}
	return arg;
}

/* Returns whether it was acknowledged that the worker drains. */
static bool send_heartbeat(void)
{
	bool drains = w.draining;
	bool is_acknowledged;
	char answer[512];
	char path[128];
	json_t *body = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}",
		"Service", w.service, "Address", w.address, "Zone", w.zone,
		"Version", "v1", "Slots", 8, "State",
		drains ? "draining" : "ready", "ColdLeftMs", 0, "Capacity",
		"Cpu", (int)w.cpu, "MemMb", 64000, "Gpu", 0, "Labels", w.kind,
		w.rack, "ClockMs", (json_int_t)clock_ms(), "Seq",
		(json_int_t)++w.sequence, "born", (json_int_t)w.born_ms);
	char *text = json_dumps(body, JSON_COMPACT);

	snprintf(path, sizeof(path), "/instances/%s/heartbeat", w.id);
	is_acknowledged = call("POST", w.beat, w.beat, path, text, 1000,
			       answer, sizeof(answer)) == 200;
	free(text);
	json_decref(body);
	return is_acknowledged && drains;
}

/* Goes on for LEAVE_MS after the acknowledgement, then ends. */
static void leave_if_drained(bool is_acknowledged)
{
	static uint64_t acknowledged_ms;
	char answer[512];
	char path[128];
	char body[64];

	if (!w.draining || (!acknowledged_ms && !is_acknowledged))
		return;
	if (!acknowledged_ms)
		acknowledged_ms = clock_ms();
	if (clock_ms() - acknowledged_ms < LEAVE_MS)
		return;
	snprintf(path, sizeof(path), "/instances/%s/deregister", w.id);
	snprintf(body, sizeof(body), "{\"born\":%" PRIu64 "}", w.born_ms);
	call("POST", w.beat, w.beat, path, body, 1000, answer, sizeof(answer));
	note(read_ms(CLOCK_BOOTTIME), "death", "-", 0, "left");
	exit(0);
}

static int run_worker(int argc, char **argv)
{
	const char *journal = NULL;
	const char *port = NULL;
	pthread_t thread;

	w.service = "s";
	w.zone = "z";
	w.rack = "r1";
	w.kind = "a";
	w.cpu = 16000;
	w.hold_max_ms = 10000;
	w.stop_ms = 400;
	w.beat_ms = 500;
	w.born_ms = read_ms(CLOCK_REALTIME);
	for (int i = 0; i + 1 < argc; i += 2) {
		const char *value = argv[i + 1];

		if (!strcmp(argv[i], "--port"))
			port = value;
		else if (!strcmp(argv[i], "--id"))
			w.id = value;
		else if (!strcmp(argv[i], "--beat"))
			w.beat = value;
		else if (!strcmp(argv[i], "--rack"))
			w.rack = value;
		else if (!strcmp(argv[i], "--kind"))
			w.kind = value;
		else if (!strcmp(argv[i], "--zone"))
			w.zone = value;
		else if (!strcmp(argv[i], "--journal"))
			journal = value;
		else if (!strcmp(argv[i], "--held"))
			w.held = value;
		else if (!strcmp(argv[i], "--late-first"))
			w.late_first = (unsigned)atoi(value);
		else if (!strcmp(argv[i], "--late") &&
			 sscanf(value, "%u:%u", &w.late_from_ms,
				&w.late_to_ms) == 2)
			continue;
		else if (!strcmp(argv[i], "--gangs"))
			w.gangs = value;
		else if (!strcmp(argv[i], "--fails") &&
			 sscanf(value, "%u:%u", &w.fails_from_ms,
				&w.fails_to_ms) == 2)
			continue;
		else if (!strcmp(argv[i], "--born"))
			w.born_ms = strtoull(value, NULL, 10);
		else
			return 2;
	}
	if (!port || !w.id || !w.beat || !journal)
		return 2;
	snprintf(w.address, sizeof(w.address), "127.0.0.1:%s", port);
	w.journal = open(journal, O_WRONLY | O_CREAT | O_APPEND, 0644);
	/* The lease of a life that begins now is over. */
	w.origin_ms = read_ms(CLOCK_BOOTTIME) - 1;
	pthread_mutex_init(&w.lock, NULL);
	if (w.journal < 0)
		return 2;
	note(read_ms(CLOCK_BOOTTIME), "life", "-", 0, "-");
	/* What the process before this one has left unanswered. */
	carry_out_held(LATE_MIN_MS, LATE_MAX_MS, "late");
	if (!MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
				      MHD_USE_INTERNAL_POLLING_THREAD,
			      (uint16_t)atoi(port), NULL, NULL, on_request,
			      NULL, MHD_OPTION_SOCK_ADDR,
			      &(struct sockaddr_in){
				      .sin_family = AF_INET,
				      .sin_port = htons((uint16_t)atoi(port)),
				      .sin_addr.s_addr =
					      htonl(INADDR_LOOPBACK) },
			      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1,
			      MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
			      MHD_OPTION_END) ||
	    pthread_create(&thread, NULL, run_ticks, NULL))
		return 2;
	for (;;) {
		leave_if_drained(send_heartbeat());
		usleep(w.beat_ms * 1000);
	}
}

int main(int argc, char **argv)
{
	static char answer[65536];
	unsigned status;

	signal(SIGPIPE, SIG_IGN);
	if (argc > 2 && !strcmp(argv[1], "worker"))
		return run_worker(argc - 2, argv + 2);
	if (argc == 2 && !strcmp(argv[1], "now")) {
		printf("%" PRIu64 "\n", read_ms(CLOCK_BOOTTIME));
		return 0;
	}
	if (argc < 6 || strcmp(argv[1], "call") != 0)
		return 2;
	status = call(argv[2], argv[3], argv[4], argv[5],
		      argc > 6 ? argv[6] : "", 3000, answer, sizeof(answer));
	printf("%u %s\n", status, answer);
	return 0;
}
