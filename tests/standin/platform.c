/**
 * @file platform.c
 * @brief A process that stands in for the platform's key-value service.
 *
 * Ends on SIGTERM or SIGINT; its data is lost then.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/log.h"
#include "support/platform_server.h"

static void wait_for_signal(const sigset_t *signals)
{
	int number = 0;

	while (sigwait(signals, &number) != 0)
		;
}

static int serve(const char *address)
{
	platform_server_t *server;
	sigset_t signals;

	/*
	 * Blocked before any thread starts: threads inherit the mask, so only
	 * sigwait() receives the signals.
	 */
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	server = platform_server_start(address);
	if (!server) {
		gn_log(LOG_ERR, "listen", address,
		       "cannot listen: address is invalid or in use");
		return EXIT_FAILURE;
	}
	gn_log(LOG_INFO, "listen", address, "port=%u",
	       platform_server_port(server));
	wait_for_signal(&signals);
	platform_server_stop(server);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct arg_str *listen =
		arg_str1(NULL, "listen", "IP:PORT", "address to serve on");
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_end *end = arg_end(4);
	void *table[] = { listen, help, end };
	int status = EXIT_FAILURE;

	gn_log_init("platform", LOG_INFO);
	if (arg_nullcheck(table))
		goto out;
	if (arg_parse(argc, argv, table) && !help->count) {
		arg_print_errors(stderr, end, argv[0]);
		goto out;
	}
	if (help->count) {
		printf("usage: platform --listen IP:PORT\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		status = EXIT_SUCCESS;
		goto out;
	}
	status = serve(listen->sval[0]);
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
