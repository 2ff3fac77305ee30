#include "ctl/ctl_http.h"

#include <curl/curl.h>
#include <string.h>
#include <sys/random.h>

#include "common/json_bound.h"

#define STEP "ask-entry"
#define CONNECT_TIMEOUT_MS 2000L
/** Size of a generated identifier before hexadecimal encoding, bytes. */
#define ID_BYTES 16

/** The part of the body received so far. */
typedef struct body_s {
	char *data;
	size_t len;
} body_t;

static size_t append_body(char *data, size_t size, size_t count, void *arg)
{
	body_t *body = arg;
	size_t len = size * count;
	char *larger;

	if (len > GN_CTL_ANSWER_MAX - body->len)
		return 0;
	larger = talloc_realloc(NULL, body->data, char, body->len + len + 1);
	if (!larger)
		return 0;
	memcpy(larger + body->len, data, len);
	body->data = larger;
	body->len += len;
	return len;
}

/** Prevents header injection: a line break in a value would add a header. */
static bool has_no_control_characters(const char *value)
{
	for (; *value; value++)
		if ((unsigned char)*value < ' ' || *value == '\x7f')
			return false;
	return true;
}

static gn_code_t add_header(struct curl_slist **list, const char *name,
			    const char *value)
{
	char *line = talloc_asprintf(NULL, "%s: %s", name, value);
	struct curl_slist *larger =
		line ? curl_slist_append(*list, line) : NULL;

	talloc_free(line);
	if (!larger)
		return GN_ERR_MEMORY;
	*list = larger;
	return GN_OK;
}

static gn_code_t build_headers(const gn_ctl_t *ctl,
			       const gn_ctl_request_t *request,
			       struct curl_slist **list, gn_error_t *error)
{
	/* Without "Expect", libcurl sends the body without waiting for
	 * "100 Continue". */
	struct curl_slist *built = curl_slist_append(NULL, "Expect:");
	gn_code_t code = built ? GN_OK : GN_ERR_MEMORY;

	for (size_t i = 0; !code && i < GN_CTL_HEADERS_MAX; i++) {
		const gn_ctl_header_t *header = &request->headers[i];

		if (!header->name || !header->value)
			continue;
		if (!has_no_control_characters(header->value)) {
			curl_slist_free_all(built);
			return gn_error_set(
				error, GN_ERR_INVALID, STEP, ctl->entry,
				"%s has control characters", header->name);
		}
		code = add_header(&built, header->name, header->value);
	}
	if (code) {
		curl_slist_free_all(built);
		return gn_error_set(error, code, STEP, ctl->entry,
				    "out of memory");
	}
	*list = built;
	return GN_OK;
}

static void set_options(CURL *curl, const gn_ctl_t *ctl,
			const gn_ctl_request_t *request, const char *url,
			struct curl_slist *headers, body_t *body)
{
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)ctl->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	if (!strcmp(request->method, "GET"))
		return;
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request->method);
	if (!strcmp(request->method, "DELETE"))
		return;
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
			 request->body.len ? request->body.data : "");
	curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)request->body.len);
}

/**
 * Returns the error for a failed transfer: the request may have taken effect
 * if any part of it was sent.
 */
static gn_code_t get_failure_code(CURL *curl)
{
	long sent = 0;

	curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sent);
	return sent ? GN_ERR_UNKNOWN : GN_ERR_UNAVAILABLE;
}

static int free_answer(gn_ctl_answer_t *answer)
{
	json_decref(answer->json);
	return 0;
}

static gn_ctl_answer_t *create_answer(CURL *curl, const body_t *body)
{
	gn_ctl_answer_t *answer = talloc_zero(NULL, gn_ctl_answer_t);
	curl_off_t retry_after_s = 0;
	long status = 0;

	if (!answer)
		return NULL;
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(curl, CURLINFO_RETRY_AFTER, &retry_after_s);
	answer->status = (unsigned)status;
	answer->retry_after_s = (unsigned)retry_after_s;
	answer->json = gn_json_parse_bounded(
		(gn_str_t){ body->data ? body->data : "", body->len },
		&answer->replaced, NULL);
	if (answer->json && !json_is_object(answer->json)) {
		json_decref(answer->json);
		answer->json = NULL;
	}
	talloc_set_destructor(answer, free_answer);
	return answer;
}

static gn_code_t perform_request(CURL *curl, const gn_ctl_t *ctl,
				 const body_t *body, gn_ctl_answer_t **answer,
				 gn_error_t *error)
{
	CURLcode result = curl_easy_perform(curl);

	if (result)
		return gn_error_set(error, get_failure_code(curl), STEP,
				    ctl->entry, "%s",
				    curl_easy_strerror(result));
	*answer = create_answer(curl, body);
	if (!*answer)
		return gn_error_set(error, GN_ERR_UNKNOWN, STEP, ctl->entry,
				    "out of memory");
	return GN_OK;
}

gn_code_t gn_ctl_send_request(const gn_ctl_t *ctl,
			      const gn_ctl_request_t *request,
			      gn_ctl_answer_t **answer, gn_error_t *error)
{
	char *url =
		talloc_asprintf(NULL, "http://%s%s", ctl->entry, request->path);
	CURL *curl = url ? curl_easy_init() : NULL;
	struct curl_slist *headers = NULL;
	body_t body = { 0 };
	gn_code_t code;

	if (!curl) {
		code = gn_error_set(error, GN_ERR_MEMORY, STEP, ctl->entry,
				    "out of memory");
		goto out;
	}
	code = build_headers(ctl, request, &headers, error);
	if (code)
		goto out;
	set_options(curl, ctl, request, url, headers, &body);
	code = perform_request(curl, ctl, &body, answer, error);
out:
	curl_slist_free_all(headers);
	if (curl)
		curl_easy_cleanup(curl);
	talloc_free(body.data);
	talloc_free(url);
	return code;
}

char *gn_ctl_build_path(TALLOC_CTX *parent, const char *prefix,
			const char *part, const char *suffix)
{
	char *escaped = curl_easy_escape(NULL, part, 0);
	char *path = NULL;

	if (escaped)
		path = talloc_asprintf(parent, "%s%s%s", prefix, escaped,
				       suffix);
	curl_free(escaped);
	return path;
}

char *gn_ctl_generate_id(TALLOC_CTX *parent)
{
	unsigned char bytes[ID_BYTES];
	char *id = talloc_strdup(parent, "");

	if (getrandom(bytes, sizeof(bytes), 0) != sizeof(bytes)) {
		talloc_free(id);
		return NULL;
	}
	for (size_t i = 0; id && i < sizeof(bytes); i++)
		id = talloc_asprintf_append_buffer(id, "%02x", bytes[i]);
	return id;
}
