/*
 * A proxy before the stand-in of the platform's store. It refuses a transaction with a
 * Value of over ValueBytes (1 MiB) with 400, as the page says "at most ValueBytes", and
 * passes on everything else.
 * usage: gate PORT STORE-PORT
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define VALUE_BYTES 1048576
#define HEAD_MAX 16384

static int store_port;

static int open_store(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port = htons((unsigned short)store_port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

static int send_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t sent = send(fd, data, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return 0;
		data += sent;
		len -= (size_t)sent;
	}
	return 1;
}

/* Reads a message with a Content-Length; returns it, or NULL at the end. */
static char *read_message(int fd, size_t *len)
{
	size_t size = HEAD_MAX, got = 0, whole = 0;
	char *text = malloc(size + 1);

	for (;;) {
		ssize_t count;

		if (got == size) {
			size *= 2;
			text = realloc(text, size + 1);
		}
		count = recv(fd, text + got, whole && whole - got < size - got ?
				     whole - got : size - got, 0);
		if (count <= 0)
			break;
		got += (size_t)count;
		text[got] = '\0';
		if (!whole) {
			char *body = strstr(text, "\r\n\r\n");
			char *length = strcasestr(text, "\r\nContent-Length:");

			if (!body)
				continue;
			whole = (size_t)(body + 4 - text);
			if (length && length < body)
				whole += (size_t)atoll(length + 17);
			if (strcasestr(text, "\r\nExpect: 100-continue"))
				send_all(fd, "HTTP/1.1 100 Continue\r\n\r\n", 25);
		}
		if (got >= whole) {
			*len = got;
			return text;
		}
	}
	free(text);
	return NULL;
}

static int has_large_value(const char *text)
{
	const char *value = strstr(text, "\r\n\r\n");

	while (value && (value = strstr(value, "\"Value\":\""))) {
		size_t len;

		value += 9;
		len = strcspn(value, "\"");
		if (len / 4 * 3 > VALUE_BYTES + 2)
			return 1;
		value += len;
	}
	return 0;
}

static void *serve(void *arg)
{
	static const char refusal[] =
		"HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n"
		"Content-Length: 2\r\n\r\n{}";
	int client = (int)(long)arg;
	int store = -1;
	char *text;
	size_t len;

	while ((text = read_message(client, &len))) {
		char *answer = NULL;
		size_t answer_len;
		char *expect = strcasestr(text, "\r\nExpect: 100-continue");

		if (expect)
			memcpy(expect + 2, "X-Gone", 6);
		if (has_large_value(text)) {
			printf("refused a transaction of %zu bytes\n", len);
			fflush(stdout);
			free(text);
			if (!send_all(client, refusal, sizeof(refusal) - 1))
				break;
			continue;
		}
		if (store < 0)
			store = open_store();
		if (store >= 0 && send_all(store, text, len))
			answer = read_message(store, &answer_len);
		free(text);
		if (!answer || !send_all(client, answer, answer_len)) {
			free(answer);
			break;
		}
		free(answer);
	}
	close(client);
	if (store >= 0)
		close(store);
	return NULL;
}

int main(int argc, char **argv)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;

	if (argc < 3)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	store_port = atoi(argv[2]);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	address.sin_port = htons((unsigned short)atoi(argv[1]));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 64))
		return 2;
	for (;;) {
		int client = accept(fd, NULL, NULL);
		pthread_t thread;

		if (client < 0)
			continue;
		pthread_create(&thread, NULL, serve, (void *)(long)client);
		pthread_detach(thread);
	}
}
