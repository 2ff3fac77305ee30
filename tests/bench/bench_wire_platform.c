/**
 * @file bench_wire_platform.c
 * @brief Measures bytes and processor time of each call to the key-value
 * service of the platform.
 *
 * The client calls the stand-in over loopback through a relay, which counts the
 * bytes and reads the number of segments of each connection from TCP_INFO.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "common/str.h"
#include "platform/kv_http.h"
#include "support/platform_server.h"

#define NS_PER_US 1000
#define PAIRS_MAX 32
#define BUFFER_SIZE (64 * 1024)
#define POLL_MS 20
#define CALLS 50
#define CALLS_A_SECOND 2000
#define TIMEOUT_MS 5000
#define LEASE_MS 60000
#define WATCH_MS 2000
#define VALUE_MAX (400 * 1000)
#define ADDRESS_SIZE 32
#define SEGMENT_HEADER 66
/** Segments of a connection after its last TCP_INFO: FIN, FIN, ACK. */
#define CLOSE_SEGMENTS 3

/** A connection of the client and the one that relays it to the stand-in. */
typedef struct pair_s {
	int client;
	int server;
	uint32_t segments; /**< counted so far, both directions */
} pair_t;

typedef struct relay_s {
	int listener;
	uint16_t port; /**< port of the stand-in */
	atomic_bool is_stopping;
	atomic_uint_fast64_t bytes;
	atomic_uint_fast64_t segments;
	pair_t pairs[PAIRS_MAX];
	size_t count;
} relay_t;

typedef struct rig_s {
	struct tevent_context *loop;
	gn_clock_t clock;
	platform_server_t *server;
	relay_t relay;
	GThread *thread;
	gn_kv_http_t *http;
	gn_kv_t *kv;
	uint64_t revision;
	uint64_t lease;
	gn_code_t code;
} rig_t;

/* ======   Relay   ====== */

static struct sockaddr_in make_loopback_address(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

static void count_segments(relay_t *relay, pair_t *pair)
{
	struct tcp_info info;
	socklen_t size = sizeof(info);
	uint32_t segments;

	memset(&info, 0, sizeof(info));
	getsockopt(pair->client, IPPROTO_TCP, TCP_INFO, &info, &size);
	segments = info.tcpi_segs_in + info.tcpi_segs_out;
	atomic_fetch_add(&relay->segments, segments - pair->segments);
	pair->segments = segments;
}

static void pair_open(relay_t *relay)
{
	struct sockaddr_in address = make_loopback_address(relay->port);
	pair_t *pair = &relay->pairs[relay->count];

	g_assert_cmpuint(relay->count, <, PAIRS_MAX);
	memset(pair, 0, sizeof(*pair));
	pair->client = accept(relay->listener, NULL, NULL);
	pair->server = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(connect(pair->server, (struct sockaddr *)&address,
				sizeof(address)),
			==, 0);
	relay->count++;
}

static void pair_close(relay_t *relay, size_t i)
{
	count_segments(relay, &relay->pairs[i]);
	atomic_fetch_add(&relay->segments, CLOSE_SEGMENTS);
	close(relay->pairs[i].client);
	close(relay->pairs[i].server);
	relay->pairs[i] = relay->pairs[--relay->count];
}

/** Forwards the waiting data. @return false at the end of the connection */
static bool forward(relay_t *relay, int from, int to)
{
	static char buffer[BUFFER_SIZE];
	ssize_t len = recv(from, buffer, sizeof(buffer), 0);

	if (len <= 0)
		return false;
	atomic_fetch_add(&relay->bytes, (uint64_t)len);
	for (ssize_t done = 0; done < len;) {
		ssize_t sent = send(to, buffer + done, (size_t)(len - done),
				    MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		done += sent;
	}
	return true;
}

static void relay_step(relay_t *relay)
{
	struct pollfd fds[1 + 2 * PAIRS_MAX];
	size_t count = relay->count;

	fds[0] = (struct pollfd){ relay->listener, POLLIN, 0 };
	for (size_t i = 0; i < count; i++) {
		pair_t *pair = &relay->pairs[i];

		count_segments(relay, pair);
		fds[1 + 2 * i] = (struct pollfd){ pair->client, POLLIN, 0 };
		fds[2 + 2 * i] = (struct pollfd){ pair->server, POLLIN, 0 };
	}
	poll(fds, 1 + 2 * count, POLL_MS);
	for (size_t i = count; i > 0; i--) {
		pair_t *pair = &relay->pairs[i - 1];
		bool is_open = true;

		if (fds[2 * i - 1].revents)
			is_open = forward(relay, pair->client, pair->server);
		if (is_open && fds[2 * i].revents)
			is_open = forward(relay, pair->server, pair->client);
		if (!is_open)
			pair_close(relay, i - 1);
	}
	if (fds[0].revents)
		pair_open(relay);
}

static void *relay_run(void *data)
{
	relay_t *relay = data;

	while (!atomic_load(&relay->is_stopping))
		relay_step(relay);
	while (relay->count)
		pair_close(relay, 0);
	close(relay->listener);
	return NULL;
}

static uint16_t relay_listen(relay_t *relay, uint16_t port)
{
	struct sockaddr_in address = make_loopback_address(0);
	socklen_t size = sizeof(address);

	relay->port = port;
	relay->listener = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(relay->listener, (struct sockaddr *)&address,
			     sizeof(address)),
			==, 0);
	g_assert_cmpint(listen(relay->listener, PAIRS_MAX), ==, 0);
	getsockname(relay->listener, (struct sockaddr *)&address, &size);
	return ntohs(address.sin_port);
}

/* ======   Calls   ====== */

static void on_done(void *context, const gn_kv_result_t *result)
{
	rig_t *rig = context;

	rig->code = result->code;
	if (result->code == GN_OK && result->revision)
		rig->revision = result->revision;
	if (result->lease)
		rig->lease = result->lease;
}

static void run_until_done(rig_t *rig)
{
	while (gn_kv_http_pending(rig->http))
		g_assert_cmpint(tevent_loop_once(rig->loop), ==, 0);
	g_assert_cmpint(rig->code, ==, GN_OK);
}

static void call_put(rig_t *rig, size_t size)
{
	static char value[VALUE_MAX];
	static unsigned serial;
	char key[ADDRESS_SIZE];
	gn_kv_put_t request = { .value = { value, size },
				.change_id = GN_STR("0123456789abcdef-1") };

	g_snprintf(key, sizeof(key), "bench/%08u", serial++);
	request.key = gn_str_from(key);
	gn_kv_put(rig->kv, &request, on_done, rig);
}

static void call_renew(rig_t *rig, size_t size)
{
	(void)size;
	gn_kv_renew(rig->kv, rig->lease, on_done, rig);
}

static void call_get(rig_t *rig, size_t size)
{
	(void)size;
	gn_kv_get(rig->kv, GN_STR("bench/00000000"), on_done, rig);
}

/** Starts a watch and a write that ends it. */
static void call_watch(rig_t *rig, size_t size)
{
	uint64_t from = rig->revision;

	gn_kv_watch(rig->kv, GN_STR("bench/"), from, WATCH_MS, on_done, rig);
	call_put(rig, size);
}

typedef struct call_s {
	const char *name;
	void (*start)(rig_t *rig, size_t size);
	size_t size; /**< bytes of the value */
	unsigned calls;
} call_t;

static const call_t calls[] = {
	{ "put", call_put, 100, CALLS },   { "put", call_put, 1000, CALLS },
	{ "put", call_put, 332000, 10 },   { "get", call_get, 100, CALLS },
	{ "renew", call_renew, 0, CALLS }, { "watch+put", call_watch, 250, 20 },
	{ "put", call_put, 250, CALLS },
};

static uint64_t cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (uint64_t)now.tv_sec * GN_US_PER_S * NS_PER_US +
	       (uint64_t)now.tv_nsec;
}

static void measure(rig_t *rig, const call_t *call)
{
	uint64_t bytes = atomic_load(&rig->relay.bytes);
	uint64_t segments = atomic_load(&rig->relay.segments);
	uint64_t start_ns = cpu_ns();
	double count = call->calls;
	double headers;

	for (unsigned i = 0; i < call->calls; i++) {
		call->start(rig, call->size);
		run_until_done(rig);
	}
	start_ns = cpu_ns() - start_ns;
	g_usleep(5L * POLL_MS * GN_US_PER_MS);
	bytes = atomic_load(&rig->relay.bytes) - bytes;
	segments = atomic_load(&rig->relay.segments) - segments;
	headers = (double)segments * SEGMENT_HEADER;
	printf("platform call=%-9s value=%-6zu payload=%-8.0f segments=%-5.1f "
	       "on_the_wire=%-8.0f client_cpu_us=%.0f\n",
	       call->name, call->size, (double)bytes / count,
	       (double)segments / count, ((double)bytes + headers) / count,
	       (double)start_ns / NS_PER_US / count);
}

static void rig_open(rig_t *rig)
{
	char address[ADDRESS_SIZE];
	gn_kv_http_options_t options = { .address = address,
					 .timeout_ms = TIMEOUT_MS,
					 .calls_per_s = CALLS_A_SECOND };

	rig->loop = tevent_context_init(NULL);
	gn_clock_init_boot(&rig->clock);
	rig->server = platform_server_start("127.0.0.1:0");
	g_assert_nonnull(rig->server);
	g_snprintf(
		address, sizeof(address), "127.0.0.1:%u",
		relay_listen(&rig->relay, platform_server_port(rig->server)));
	rig->thread = g_thread_new("relay", relay_run, &rig->relay);
	options.clock = &rig->clock;
	options.counters = gn_counters_create(rig->loop);
	options.loop = rig->loop;
	rig->http = gn_kv_http_create(rig->loop, &options);
	g_assert_nonnull(rig->http);
	rig->kv = gn_kv_http_client(rig->http);
	gn_kv_grant(rig->kv, LEASE_MS, on_done, rig);
	run_until_done(rig);
}

static void rig_close(rig_t *rig)
{
	gn_kv_http_free(rig->http);
	atomic_store(&rig->relay.is_stopping, true);
	g_thread_join(rig->thread);
	platform_server_stop(rig->server);
	talloc_free(rig->loop);
}

int main(void)
{
	static rig_t rig;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	rig_open(&rig);
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++)
		measure(&rig, &calls[i]);
	rig_close(&rig);
	curl_global_cleanup();
	return 0;
}
