/**
 * @file bench_wire_reconnect.c
 * @brief Measures the processor time of opening links and of reconnecting to
 * dead peers.
 *
 * The first part opens many links to one ROUTER at once, as after its restart.
 * The second runs DEALERs without a peer, with libzmq's default reconnect
 * interval of 100 ms and with one that doubles up to 5 s. All on loopback.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>
#include <zmq.h>

#define ENDPOINT_SIZE 64
#define SOCKETS_MAX 2048
#define US_PER_S 1000000
#define LINKS_MAX 720
#define DEAD_PEERS 27
#define DEAD_RUN_S 5
#define INTERVAL_MS 100
#define INTERVAL_MAX_MS 5000
#define HELLO_SIZE 80

static uint64_t get_process_cpu_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
		       US_PER_S +
	       (uint64_t)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

static void *socket_create(void *context, int type)
{
	void *socket = zmq_socket(context, type);
	int linger = 0;
	int backlog = SOCKETS_MAX;

	g_assert_nonnull(socket);
	zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(socket, ZMQ_BACKLOG, &backlog, sizeof(backlog));
	return socket;
}

/** Receives the first message of each of @p count peers. */
static void receive_hellos(void *router, unsigned count)
{
	char part[HELLO_SIZE];

	for (unsigned i = 0; i < count; i++) {
		g_assert_cmpint(zmq_recv(router, part, sizeof(part), 0), >, 0);
		g_assert_cmpint(zmq_recv(router, part, sizeof(part), 0), >, 0);
	}
}

static void run_connect(unsigned count)
{
	void *links[LINKS_MAX];
	char hello[HELLO_SIZE] = { 0 };
	char endpoint[ENDPOINT_SIZE];
	size_t size = sizeof(endpoint);
	void *context = zmq_ctx_new();
	void *router;
	uint64_t cpu_us;
	int64_t time_us;

	zmq_ctx_set(context, ZMQ_MAX_SOCKETS, SOCKETS_MAX);
	router = socket_create(context, ZMQ_ROUTER);
	g_assert_cmpint(zmq_bind(router, "tcp://127.0.0.1:*"), ==, 0);
	zmq_getsockopt(router, ZMQ_LAST_ENDPOINT, endpoint, &size);
	for (unsigned i = 0; i < count; i++)
		links[i] = socket_create(context, ZMQ_DEALER);
	cpu_us = get_process_cpu_us();
	time_us = g_get_monotonic_time();
	for (unsigned i = 0; i < count; i++) {
		zmq_connect(links[i], endpoint);
		zmq_send(links[i], hello, sizeof(hello), 0);
	}
	receive_hellos(router, count);
	time_us = g_get_monotonic_time() - time_us;
	cpu_us = get_process_cpu_us() - cpu_us;
	printf("reconnect links=%-4u all_at_once_ms=%.1f "
	       "both_ends_cpu_us_a_link=%.0f\n",
	       count, (double)time_us / 1000, (double)cpu_us / count);
	for (unsigned i = 0; i < count; i++)
		zmq_close(links[i]);
	zmq_close(router);
	zmq_ctx_term(context);
}

/** Writes a loopback endpoint on which nothing listens to @p endpoint. */
static void make_dead_endpoint(void *context, char *endpoint)
{
	size_t size = ENDPOINT_SIZE;
	void *socket = socket_create(context, ZMQ_ROUTER);

	g_assert_cmpint(zmq_bind(socket, "tcp://127.0.0.1:*"), ==, 0);
	zmq_getsockopt(socket, ZMQ_LAST_ENDPOINT, endpoint, &size);
	zmq_close(socket);
}

static void run_dead(int interval_max_ms)
{
	void *links[DEAD_PEERS];
	char endpoint[ENDPOINT_SIZE];
	int interval_ms = INTERVAL_MS;
	void *context = zmq_ctx_new();
	uint64_t cpu_us;

	make_dead_endpoint(context, endpoint);
	usleep(US_PER_S / 10);
	cpu_us = get_process_cpu_us();
	for (unsigned i = 0; i < DEAD_PEERS; i++) {
		links[i] = socket_create(context, ZMQ_DEALER);
		zmq_setsockopt(links[i], ZMQ_RECONNECT_IVL, &interval_ms,
			       sizeof(interval_ms));
		zmq_setsockopt(links[i], ZMQ_RECONNECT_IVL_MAX,
			       &interval_max_ms, sizeof(interval_max_ms));
		zmq_connect(links[i], endpoint);
	}
	sleep(DEAD_RUN_S);
	cpu_us = get_process_cpu_us() - cpu_us;
	printf("reconnect dead_peers=%d interval_ms=%d interval_max_ms=%d "
	       "cpu_us_s_a_peer=%.0f\n",
	       DEAD_PEERS, interval_ms, interval_max_ms,
	       (double)cpu_us / DEAD_PEERS / DEAD_RUN_S);
	for (unsigned i = 0; i < DEAD_PEERS; i++)
		zmq_close(links[i]);
	zmq_ctx_term(context);
}

int main(void)
{
	static const unsigned counts[] = { 27, 240, LINKS_MAX };

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++)
		run_connect(counts[i]);
	run_dead(0);
	run_dead(INTERVAL_MAX_MS);
	return 0;
}
