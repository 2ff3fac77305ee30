#include "daemon/metrics.h"

#include <stdlib.h>
#include <string.h>

#include "http/server.h"
#include "http/status.h"

#define CONNECTIONS_MAX 16
#define BODY_MAX 1024
#define METRICS_PATH "/metrics"

/** The metrics server and the runtime whose counters it serves. */
typedef struct metrics_s {
	gn_runtime_t *runtime;
	gn_http_server_t *server;
} metrics_t;

static void on_http(void *arg, gn_http_request_t *request)
{
	metrics_t *metrics = arg;
	gn_http_answer_t *answer = &request->answer;
	bool found = request->method == GN_HTTP_GET &&
		     !strcmp(request->path, METRICS_PATH);

	answer->status = found ? HTTP_OK : HTTP_NOT_FOUND;
	answer->body =
		found ? gn_counters_format_text(metrics->runtime->counters)
		      : NULL;
	answer->body_len = answer->body ? strlen(answer->body) : 0;
	gn_http_server_answer(metrics->server, request);
}

gn_code_t gn_metrics_start(TALLOC_CTX *parent, gn_runtime_t *runtime,
			   gn_error_t *error)
{
	const gn_settings_t *settings = runtime->settings;
	metrics_t *metrics;
	gn_http_server_config_t config = {
		.events = runtime->events,
		.zmq = runtime->zmq,
		.address = settings->metrics_listen,
		.connections = CONNECTIONS_MAX,
		.timeout_ms = settings->http_timeout_ms,
		.threads = 1,
		.body_max = BODY_MAX,
		.counters = runtime->counters,
		.handler = on_http,
	};

	if (!settings->metrics_listen)
		return GN_OK;
	metrics = talloc_zero(parent, metrics_t);
	if (!metrics)
		return gn_error_set(error, GN_ERR_MEMORY, "start", NULL,
				    "metrics");
	metrics->runtime = runtime;
	config.arg = metrics;
	return gn_http_server_start(metrics, &config, &metrics->server, error);
}
