/*
 * Passes calls on to a worker, one connection a call. After SIGUSR1, for FOR_MS, half of
 * the calls to /hold with a LastSeen of at least MIN get no answer and are passed on 2 s
 * to MAX_MS later, to whatever process listens there then.
 * usage: late-2 LISTEN_PORT WORKER_PORT MIN FOR_MS MAX_MS SEED
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define REQUEST_MAX (256 * 1024)

#define LATE_MIN_MS 2000

static volatile sig_atomic_t is_armed;
static struct timespec armed_at;
static int worker_port;
static long least_seen;
static long for_ms;
static long late_max_ms;

static void on_signal(int signum)
{
	(void)signum;
	clock_gettime(CLOCK_MONOTONIC, &armed_at);
	is_armed = 1;
}

static struct sockaddr_in get_address(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	address.sin_port = htons((unsigned short)port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

/* Reads one request; returns its length, or 0 if it is not whole. */
static size_t read_request(int fd, char *text)
{
	size_t len = 0;
	size_t whole = 0;

	while (!whole || len < whole) {
		ssize_t got = read(fd, text + len, REQUEST_MAX - 1 - len);
		const char *end;
		const char *field;

		if (got <= 0)
			return 0;
		len += (size_t)got;
		text[len] = '\0';
		end = strstr(text, "\r\n\r\n");
		if (whole || !end)
			continue;
		field = strcasestr(text, "\r\nContent-Length:");
		whole = (size_t)(end + 4 - text);
		if (field && field < end)
			whole += strtoul(field + 17, NULL, 10);
		if (whole >= REQUEST_MAX)
			return 0;
	}
	return len;
}

static int send_request(const char *text, size_t len)
{
	struct sockaddr_in address = get_address(worker_port);
	const char *line = strstr(text, "\r\n");
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	size_t first = (size_t)(line + 2 - text);
	static const char close_line[] = "Connection: close\r\n";

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    send(fd, text, first, MSG_NOSIGNAL) < 0 ||
	    send(fd, close_line, sizeof(close_line) - 1, MSG_NOSIGNAL) < 0 ||
	    send(fd, text + first, len - first, MSG_NOSIGNAL) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static void pass_answer(int from, int to)
{
	char data[16384];
	ssize_t got;

	while ((got = read(from, data, sizeof(data))) > 0)
		if (to >= 0 && send(to, data, (size_t)got, MSG_NOSIGNAL) < 0)
			break;
}

static int is_chosen(const char *text)
{
	const char *seen = strstr(text, "\"LastSeen\":");
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	if (!is_armed ||
	    (now.tv_sec - armed_at.tv_sec) * 1000 +
			    (now.tv_nsec - armed_at.tv_nsec) / 1000000 >
		    for_ms || strncmp(text, "POST /hold", 10) != 0 || !seen ||
	    strtol(seen + 11, NULL, 10) < least_seen)
		return 0;
	return rand() % 2;
}

static void note(const char *event, const char *text)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	printf("%lld %s %s\n",
	       (long long)now.tv_sec * 1000000 + now.tv_nsec / 1000, event,
	       strstr(text, "\r\n\r\n") + 4);
	fflush(stdout);
}

static void *serve(void *arg)
{
	int client = *(int *)arg;
	char *text = malloc(REQUEST_MAX);
	size_t len = text ? read_request(client, text) : 0;
	int worker = -1;

	free(arg);
	if (len && is_chosen(text)) {
		note("kept back", text);
		usleep((useconds_t)(LATE_MIN_MS +
				    rand() % (late_max_ms - LATE_MIN_MS)) *
		       1000);
		worker = send_request(text, len);
		if (worker >= 0) {
			pass_answer(worker, -1);
			note("carried out late", text);
		}
	} else if (len) {
		worker = send_request(text, len);
		if (worker >= 0)
			pass_answer(worker, client);
	}
	if (worker >= 0)
		close(worker);
	close(client);
	free(text);
	return NULL;
}

int main(int argc, char **argv)
{
	struct sockaddr_in address;
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (argc != 7)
		return EXIT_FAILURE;
	address = get_address(atoi(argv[1]));
	worker_port = atoi(argv[2]);
	least_seen = atol(argv[3]);
	for_ms = atol(argv[4]);
	late_max_ms = atol(argv[5]);
	srand((unsigned)atoi(argv[6]));
	signal(SIGUSR1, on_signal);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 128))
		return EXIT_FAILURE;
	for (;;) {
		int *client = malloc(sizeof(*client));
		pthread_t thread;

		*client = accept(fd, NULL, NULL);
		if (*client < 0 || pthread_create(&thread, NULL, serve, client))
			free(client);
		else
			pthread_detach(thread);
	}
}
