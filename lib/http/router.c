#include "http/router.h"

#include <string.h>

#include "http/reply.h"
#include "http/status.h"

/* Whether @p path matches @p pattern, whose "*" matches one path segment. */
static bool match_path(const char *pattern, const char *path, gn_str_t *name)
{
	const char *star = strchr(pattern, '*');
	size_t head = star ? (size_t)(star - pattern) : 0;
	size_t part;

	if (!star)
		return !strcmp(pattern, path);
	if (strncmp(pattern, path, head) != 0)
		return false;
	part = strcspn(path + head, "/");
	name->data = path + head;
	name->len = part;
	return part > 0 && !strcmp(star + 1, path + head + part);
}

void gn_http_route(const gn_http_route_t *routes, gn_http_server_t *server,
		   void *arg, gn_http_request_t *request)
{
	gn_refusal_t refusal = { HTTP_NOT_FOUND, GN_OUTCOME_NOT_RUN,
				 "no-such-path", 0 };
	const gn_http_route_t *route;

	for (route = routes; route->path; route++) {
		gn_str_t name = GN_STR("");

		if (!match_path(route->path, request->path, &name))
			continue;
		if (route->method == request->method) {
			route->handler(arg, request, name);
			return;
		}
		refusal.status = HTTP_METHOD_NOT_ALLOWED;
		refusal.reason = "method-not-allowed";
	}
	gn_http_reply_refusal(server, request, &refusal, NULL);
}
