/*
 * Sends one HTTP request and prints the status and the body of its answer.
 * usage: call METHOD IP:PORT PATH HOST [BODY-FILE [DEADLINE-MS]]
 * Without an answer in time (3 s if not given), it prints 000.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static long long now_of(clockid_t clock)
{
	struct timespec at;

	clock_gettime(clock, &at);
	return at.tv_sec * 1000LL + at.tv_nsec / 1000000;
}

int main(int argc, char **argv)
{
	static char body[2 << 20], head[4096], answer[2 << 20];
	struct sockaddr_in address = { .sin_family = AF_INET };
	long long patience = argc > 6 ? atoll(argv[6]) : 3000;
	long long until = now_of(CLOCK_MONOTONIC) + patience;
	size_t len = 0, got = 0, sent = 0;
	char *colon, *text = NULL, *length;
	int fd;

	if (argc < 5 || !(colon = strchr(argv[2], ':')))
		return 2;
	if (argc > 5 && *argv[5]) {
		FILE *file = fopen(argv[5], "re");

		if (!file)
			return 2;
		len = fread(body, 1, sizeof(body), file);
		fclose(file);
	}
	*colon = '\0';
	address.sin_port = htons((unsigned short)atoi(colon + 1));
	inet_pton(AF_INET, argv[2], &address.sin_addr);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		puts("000");
		return 0;
	}
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
		 "X-Gypsumnotch-Request-Deadline: %lld\r\n"
		 "Content-Length: %zu\r\nConnection: close\r\n\r\n",
		 argv[1], argv[3], argv[4], now_of(CLOCK_REALTIME) + patience,
		 len);
	if (send(fd, head, strlen(head), MSG_NOSIGNAL) < 0)
		sent = len;
	while (sent < len) {
		ssize_t count = send(fd, body + sent, len - sent, MSG_NOSIGNAL);

		if (count <= 0)
			break;
		sent += (size_t)count;
	}
	while (got < sizeof(answer) - 1) {
		struct pollfd entry = { .fd = fd, .events = POLLIN };
		long long left = until - now_of(CLOCK_MONOTONIC);
		ssize_t count;

		if (left <= 0 || poll(&entry, 1, (int)left) <= 0)
			break;
		count = recv(fd, answer + got, sizeof(answer) - 1 - got, 0);
		if (count <= 0)
			break;
		got += (size_t)count;
		answer[got] = '\0';
		text = strstr(answer, "\r\n\r\n");
		length = strcasestr(answer, "\r\nContent-Length:");
		if (text && length && length < text &&
		    strlen(text + 4) >= (size_t)atoll(length + 17))
			break;
	}
	if (text && got > 12)
		printf("%.3s %s\n", answer + 9, text + 4);
	else
		puts("000");
	return 0;
}
