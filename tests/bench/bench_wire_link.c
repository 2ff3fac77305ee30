/**
 * @file bench_wire_link.c
 * @brief Measures bytes, processor time and memory per peer of a ZeroMQ link.
 *
 * A ROUTER acknowledges each heartbeat of its peers, which are DEALERs of
 * another context driven by another thread. Bytes and segments are read from
 * TCP_INFO of a connection that the socket monitor reports; processor time is
 * read from schedstat of each thread, to separate the two ends. Everything runs
 * on loopback in one process for a bounded time.
 */
#include <dirent.h>
#include <glib.h>
#include <inttypes.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#define BEAT_SIZE 46
#define ACK_SIZE 31
#define ENDPOINT_SIZE 64
#define SOCKETS_MAX 2048
#define THREADS_MAX 64
#define RUN_US 3000000
#define WARM_UP_US 300000
#define POLL_MS 50
#define US_PER_S 1000000
/** Messages per second: of one peer, and the limit of all peers together. */
#define RATE_PER_PEER 20
#define RATE_MAX 2000
/** Header bytes of a segment: Ethernet, IPv4 and TCP with timestamps. */
#define SEGMENT_HEADER 66
#define MONITOR_EVENT_SIZE 6

typedef struct peers_s {
	void *context;
	char endpoint[ENDPOINT_SIZE];
	unsigned count;
	unsigned rate; /**< messages per second of all peers */
	atomic_bool is_stopping;
	atomic_uint_fast64_t sent;
} peers_t;

/** The threads of one end. */
typedef struct threads_s {
	pid_t tids[THREADS_MAX];
	size_t count;
} threads_t;

static void threads_list(threads_t *threads)
{
	DIR *dir = opendir("/proc/self/task");
	struct dirent *entry;

	threads->count = 0;
	g_assert_nonnull(dir);
	while ((entry = readdir(dir)) && threads->count < THREADS_MAX) {
		pid_t tid = (pid_t)strtol(entry->d_name, NULL, 10);

		if (tid)
			threads->tids[threads->count++] = tid;
	}
	closedir(dir);
}

static bool threads_contain(const threads_t *threads, pid_t tid)
{
	for (size_t i = 0; i < threads->count; i++)
		if (threads->tids[i] == tid)
			return true;
	return false;
}

/** Removes the threads in @p before from @p threads. */
static void threads_subtract(threads_t *threads, const threads_t *before)
{
	size_t kept = 0;

	for (size_t i = 0; i < threads->count; i++)
		if (!threads_contain(before, threads->tids[i]))
			threads->tids[kept++] = threads->tids[i];
	threads->count = kept;
}

static uint64_t thread_cpu_ns(pid_t tid)
{
	char path[64];
	char line[128] = "";
	FILE *file;

	snprintf(path, sizeof(path), "/proc/self/task/%d/schedstat", (int)tid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	if (!fgets(line, sizeof(line), file))
		line[0] = '\0';
	fclose(file);
	return strtoull(line, NULL, 10);
}

static uint64_t threads_cpu_ns(const threads_t *threads)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < threads->count; i++)
		sum += thread_cpu_ns(threads->tids[i]);
	return sum;
}

static uint64_t get_process_cpu_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
		       US_PER_S +
	       (uint64_t)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

static long get_resident_kb(void)
{
	char line[128];
	long kb = 0;
	FILE *file = fopen("/proc/self/status", "r");

	g_assert_nonnull(file);
	while (fgets(line, sizeof(line), file))
		if (!strncmp(line, "VmRSS:", 6))
			kb = strtol(line + 6, NULL, 10);
	fclose(file);
	return kb;
}

static void *context_create(void)
{
	void *context = zmq_ctx_new();

	g_assert_nonnull(context);
	zmq_ctx_set(context, ZMQ_MAX_SOCKETS, SOCKETS_MAX);
	return context;
}

static void *router_create(void *context, char *endpoint, void **monitor)
{
	void *router = zmq_socket(context, ZMQ_ROUTER);
	size_t size = ENDPOINT_SIZE;
	int linger = 0;
	int backlog = SOCKETS_MAX;

	g_assert_nonnull(router);
	zmq_setsockopt(router, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(router, ZMQ_BACKLOG, &backlog, sizeof(backlog));
	zmq_socket_monitor(router, "inproc://monitor", ZMQ_EVENT_ACCEPTED);
	*monitor = zmq_socket(context, ZMQ_PAIR);
	g_assert_cmpint(zmq_connect(*monitor, "inproc://monitor"), ==, 0);
	g_assert_cmpint(zmq_bind(router, "tcp://127.0.0.1:*"), ==, 0);
	zmq_getsockopt(router, ZMQ_LAST_ENDPOINT, endpoint, &size);
	return router;
}

/** Returns the descriptor of the next accepted connection, or -1. */
static int monitor_accepted(void *monitor)
{
	uint8_t event[MONITOR_EVENT_SIZE];
	char address[ENDPOINT_SIZE];
	uint32_t fd;

	if (zmq_recv(monitor, event, sizeof(event), ZMQ_DONTWAIT) < 0)
		return -1;
	zmq_recv(monitor, address, sizeof(address), 0);
	memcpy(&fd, event + 2, sizeof(fd));
	return (int)fd;
}

static void *dealer_create(const peers_t *peers)
{
	void *dealer = zmq_socket(peers->context, ZMQ_DEALER);
	int linger = 0;

	g_assert_nonnull(dealer);
	zmq_setsockopt(dealer, ZMQ_LINGER, &linger, sizeof(linger));
	g_assert_cmpint(zmq_connect(dealer, peers->endpoint), ==, 0);
	return dealer;
}

static void dealer_drain(void *dealer)
{
	char ack[ACK_SIZE];

	while (zmq_recv(dealer, ack, sizeof(ack), ZMQ_DONTWAIT) >= 0)
		;
}

/** Sends heartbeats at a constant rate from the peers in turn. */
static void *peers_run(void *data)
{
	peers_t *peers = data;
	void **dealers = g_new0(void *, peers->count);
	char beat[BEAT_SIZE] = { 0 };

	for (unsigned i = 0; i < peers->count; i++)
		dealers[i] = dealer_create(peers);
	for (unsigned i = 0; !atomic_load(&peers->is_stopping); i++) {
		void *dealer = dealers[i % peers->count];

		dealer_drain(dealer);
		if (zmq_send(dealer, beat, sizeof(beat), ZMQ_DONTWAIT) >= 0)
			atomic_fetch_add(&peers->sent, 1);
		usleep(US_PER_S / peers->rate);
	}
	for (unsigned i = 0; i < peers->count; i++)
		zmq_close(dealers[i]);
	g_free(dealers);
	return NULL;
}

/** Answers all waiting messages. @return the number of messages answered */
static uint64_t router_drain(void *router)
{
	uint64_t count = 0;

	for (;;) {
		char from[64];
		char beat[BEAT_SIZE];
		char ack[ACK_SIZE] = { 0 };
		int len = zmq_recv(router, from, sizeof(from), ZMQ_DONTWAIT);

		if (len < 0)
			return count;
		zmq_recv(router, beat, sizeof(beat), 0);
		zmq_send(router, from, (size_t)len, ZMQ_SNDMORE);
		zmq_send(router, ack, sizeof(ack), ZMQ_DONTWAIT);
		count++;
	}
}

/** Runs an event loop on the descriptor of the socket, as the daemon does. */
static uint64_t router_run(void *router, uint64_t time_us)
{
	int64_t end_us = g_get_monotonic_time() + (int64_t)time_us;
	uint64_t count = 0;
	struct pollfd wait = { .events = POLLIN };
	size_t size = sizeof(wait.fd);

	zmq_getsockopt(router, ZMQ_FD, &wait.fd, &size);
	while (g_get_monotonic_time() < end_us) {
		int events = 0;

		size = sizeof(events);
		zmq_getsockopt(router, ZMQ_EVENTS, &events, &size);
		if (events & ZMQ_POLLIN)
			count += router_drain(router);
		else
			poll(&wait, 1, POLL_MS);
	}
	return count;
}

static void print_bytes(int fd, struct tcp_info *start, uint64_t messages)
{
	struct tcp_info info;
	socklen_t size = sizeof(info);
	double count = (double)messages;
	double segs_in;
	double segs_out;

	memset(&info, 0, sizeof(info));
	getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size);
	if (!start || !messages)
		return;
	segs_in = (info.tcpi_segs_in - start->tcpi_segs_in) / count;
	segs_out = (info.tcpi_segs_out - start->tcpi_segs_out) / count;
	printf("link bytes: payload_in=%d payload_out=%d stream_in=%.1f "
	       "stream_out=%.1f segments_in=%.2f segments_out=%.2f "
	       "on_the_wire=%.0f\n",
	       BEAT_SIZE, ACK_SIZE,
	       (double)(info.tcpi_bytes_received - start->tcpi_bytes_received) /
		       count,
	       (double)(info.tcpi_bytes_sent - start->tcpi_bytes_sent) / count,
	       segs_in, segs_out,
	       (double)(info.tcpi_bytes_received - start->tcpi_bytes_received +
			info.tcpi_bytes_sent - start->tcpi_bytes_sent) /
			       count +
		       (segs_in + segs_out) * SEGMENT_HEADER);
}

static void run_paced(unsigned count, unsigned rate)
{
	threads_t before;
	threads_t own;
	peers_t peers = { .count = count, .rate = rate };
	struct tcp_info start;
	socklen_t size = sizeof(start);
	void *context;
	void *router;
	void *monitor;
	GThread *thread;
	uint64_t messages;
	uint64_t cpu_ns;
	uint64_t all_us;
	int fd;

	threads_list(&before);
	context = context_create();
	router = router_create(context, peers.endpoint, &monitor);
	threads_list(&own);
	threads_subtract(&own, &before);
	own.tids[own.count++] = gettid();
	peers.context = context_create();
	thread = g_thread_new("peers", peers_run, &peers);
	router_run(router, WARM_UP_US + count * 2000ULL);
	fd = monitor_accepted(monitor);
	g_assert_cmpint(fd, >=, 0);
	memset(&start, 0, sizeof(start));
	getsockopt(fd, IPPROTO_TCP, TCP_INFO, &start, &size);
	cpu_ns = threads_cpu_ns(&own);
	all_us = get_process_cpu_us();
	messages = router_run(router, RUN_US);
	cpu_ns = threads_cpu_ns(&own) - cpu_ns;
	all_us = get_process_cpu_us() - all_us;
	printf("link peers=%-4u rate=%-5.0f messages=%-6" PRIu64
	       " router_us=%-6.1f both_ends_us=%.1f\n",
	       count, (double)messages * US_PER_S / RUN_US, messages,
	       (double)cpu_ns / 1000 / (double)messages,
	       (double)all_us / (double)messages);
	if (count == 1)
		print_bytes(fd, &start, messages);
	atomic_store(&peers.is_stopping, true);
	g_thread_join(thread);
	zmq_ctx_term(peers.context);
	zmq_close(monitor);
	zmq_close(router);
	zmq_ctx_term(context);
}

/** Opens connections up to @p count and answers a heartbeat of each. */
static void connect_up_to(void **dealers, unsigned from, unsigned count,
			  const peers_t *peers, void *router)
{
	char beat[BEAT_SIZE] = { 0 };

	for (unsigned i = from; i < count; i++)
		dealers[i] = dealer_create(peers);
	/* A heartbeat of each peer touches the buffers of its connection. */
	for (unsigned i = 0; i < count; i++)
		zmq_send(dealers[i], beat, sizeof(beat), 0);
	router_run(router, WARM_UP_US);
	for (unsigned i = 0; i < count; i++)
		dealer_drain(dealers[i]);
}

/** Measures the memory of both ends, with a socket for each peer. */
static void run_memory(void)
{
	static const unsigned steps[] = { 0, 100, 500, 1000 };
	void *dealers[1000];
	peers_t peers = { .context = context_create() };
	void *context = context_create();
	void *monitor;
	void *router = router_create(context, peers.endpoint, &monitor);
	unsigned accepted = 0;
	long base_kb = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		unsigned from = i ? steps[i - 1] : 0;

		connect_up_to(dealers, from, steps[i], &peers, router);
		while (monitor_accepted(monitor) >= 0)
			accepted++;
		if (!i)
			base_kb = get_resident_kb();
		printf("link memory: connections=%-5u accepted=%-5u rss_kb=%ld "
		       "kb_a_connection_both_ends=%.1f\n",
		       steps[i], accepted, get_resident_kb(),
		       i ? (double)(get_resident_kb() - base_kb) / steps[i]
			 : 0);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(dealers); i++)
		zmq_close(dealers[i]);
	zmq_ctx_term(peers.context);
	zmq_close(monitor);
	zmq_close(router);
	zmq_ctx_term(context);
}

int main(void)
{
	static const unsigned counts[] = { 1, 10, 27, 100, 500 };

	run_memory();
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++)
		run_paced(counts[i], MIN(counts[i] * RATE_PER_PEER, RATE_MAX));
	/* At a low rate, each message wakes both threads. */
	run_paced(27, 54);
	return 0;
}
