/**
 * @file config_http.c
 * @brief HTTP interface for operators to read and change the configuration.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "entry/config.h"
#include "http/status.h"

/** Retry-After of responses with status 503, in seconds. */
#define RETRY_AFTER_S 2
/** Size of a generated change ID including the terminating NUL, in bytes. */
#define CHANGE_ID_SIZE sizeof("0123456789abcdef")

/* An operator's request that waits for a result of the configuration store. */
typedef struct pending_change_s {
	entry_t *entry;
	gn_http_request_t *request;
} pending_change_t;

static pending_change_t *create_pending_change(entry_t *entry,
					       gn_http_request_t *request)
{
	pending_change_t *change = g_new0(pending_change_t, 1);

	change->entry = entry;
	change->request = request;
	return change;
}

/* The status and outcome of the response for a result of the configuration
 * store. */
typedef struct reply_s {
	unsigned status;
	const char *outcome;
} reply_t;

static reply_t get_reply(gn_code_t code)
{
	switch (code) {
	case GN_OK:
		return (reply_t){ HTTP_OK, "accepted" };
	case GN_ERR_CONFLICT:
		return (reply_t){ HTTP_CONFLICT, "conflict" };
	case GN_ERR_INVALID:
	case GN_ERR_RANGE:
		return (reply_t){ HTTP_BAD_REQUEST, "rejected" };
	case GN_ERR_UNKNOWN:
		return (reply_t){ HTTP_UNAVAILABLE, "unknown" };
	default:
		return (reply_t){ HTTP_UNAVAILABLE, "not-run" };
	}
}

static json_t *result_to_json(const gn_store_result_t *result,
			      const char *outcome)
{
	char *id = g_strndup(result->id.data, result->id.len);
	json_t *json =
		json_pack("{s:s, s:s}", "outcome", outcome, "change_id", id);

	if (result->revision)
		json_object_set_new(json, "revision",
				    json_integer((json_int_t)result->revision));
	if (result->code) {
		json_object_set_new(json, "reason",
				    json_string(gn_code_name(result->code)));
		json_object_set_new(json, "error",
				    json_string(result->error->detail));
	}
	g_free(id);
	return json;
}

static void on_changed(void *context, const gn_store_result_t *result)
{
	pending_change_t *change = context;
	entry_t *entry = change->entry;
	reply_t reply = get_reply(result->code);

	if (result->code == GN_OK)
		gn_counter_inc(entry->config->accepted);
	if (reply.status == HTTP_UNAVAILABLE)
		change->request->answer.retry_after_s = RETRY_AFTER_S;
	gn_http_reply_json(entry->server, change->request, reply.status,
			   result_to_json(result, reply.outcome));
	g_free(change);
}

static void refuse_request(entry_t *entry, gn_http_request_t *request,
			   const char *reason, const char *error)
{
	gn_http_reply_not_run(entry->server, request, HTTP_BAD_REQUEST, reason,
			      0, error);
}

static void start_change(entry_t *entry, gn_http_request_t *request,
			 gn_config_part_t part, gn_str_t text,
			 uint64_t if_revision)
{
	char generated[CHANGE_ID_SIZE];
	gn_str_t id = gn_str_from(request->headers[GN_HEADER_CHANGE_ID]);
	gn_str_t revision =
		gn_str_from(request->headers[GN_HEADER_IF_REVISION]);
	gn_store_change_t change = {
		.part = part,
		.text = text,
		.if_revision = if_revision,
	};

	if (!id.len) {
		snprintf(generated, sizeof(generated), "%016" PRIx64,
			 gn_runtime_random_id());
		id = gn_str_from(generated);
	}
	change.id = id;
	if (!gn_kv_is_key_text(id, GN_KV_CHANGE_MAX)) {
		refuse_request(entry, request, "malformed",
			       "Change-Id: 1 to 63 of [A-Za-z0-9/_.:-]");
		return;
	}
	if (revision.len &&
	    gn_str_parse_u64(revision, UINT64_MAX, &change.if_revision)) {
		refuse_request(entry, request, "malformed",
			       "If-Revision: a number");
		return;
	}
	gn_store_change(entry->config->store, &change, on_changed,
			create_pending_change(entry, request));
}

void entry_on_config_put(void *arg, gn_http_request_t *request, gn_str_t name)
{
	entry_t *entry = arg;
	gn_str_t text = { request->body ? request->body : "",
			  request->body_len };

	if (gn_str_equal(name, GN_STR("inventory")))
		start_change(entry, request, GN_CONFIG_INVENTORY, text, 0);
	else if (gn_str_equal(name, GN_STR("rules")))
		start_change(entry, request, GN_CONFIG_RULES, text, 0);
	else
		refuse_request(entry, request, "no-such-part",
			       "inventory or rules");
}

static json_t *to_json_string(gn_str_t text)
{
	return json_stringn(text.data ? text.data : "", text.len);
}

void entry_on_config_get(void *arg, gn_http_request_t *request, gn_str_t name)
{
	entry_t *entry = arg;
	const gn_config_doc_t *doc = gn_store_current(entry->config->store);
	gn_str_t inventory = GN_STR("");
	gn_str_t rules = GN_STR("");

	(void)name;
	if (doc) {
		inventory = doc->parts[GN_CONFIG_INVENTORY].text;
		rules = doc->parts[GN_CONFIG_RULES].text;
	}
	gn_http_reply_json(entry->server, request, HTTP_OK,
			   json_pack("{s:I, s:o, s:o}", "revision",
				     (json_int_t)(doc ? doc->revision : 0),
				     "inventory", to_json_string(inventory),
				     "rules", to_json_string(rules)));
}

/*
 * A change that isn't found is reported as unknown: another entry may still be
 * processing it.
 */
static void on_change_queried(void *context, const gn_store_result_t *result)
{
	pending_change_t *change = context;
	entry_t *entry = change->entry;
	bool accepted = result->code == GN_OK;
	bool answered = accepted || result->code == GN_ERR_NOT_FOUND;

	gn_http_reply_json(
		entry->server, change->request,
		answered ? HTTP_OK : HTTP_UNAVAILABLE,
		result_to_json(result, accepted ? "accepted" : "unknown"));
	g_free(change);
}

void entry_on_change_get(void *arg, gn_http_request_t *request, gn_str_t name)
{
	entry_t *entry = arg;

	gn_store_query_change(entry->config->store, name, on_change_queried,
			      create_pending_change(entry, request));
}

/* ======   Draining a host   ====== */

static bool host_exists(const entry_t *entry, const char *host)
{
	const gn_inventory_t *inventory = entry->config->inventory;

	return g_hash_table_contains(entry->workers, host) ||
	       (inventory && gn_inventory_find_host(inventory, host));
}

static void set_drained(entry_t *entry, gn_http_request_t *request,
			gn_str_t name, bool drained)
{
	const gn_config_doc_t *doc = gn_store_current(entry->config->store);
	TALLOC_CTX *scratch = talloc_new(NULL);
	gn_error_t error = { 0 };
	char host[GN_NAME_MAX + 1];
	gn_str_t changed;

	if (gn_str_copy(host, sizeof(host), name) || !host_exists(entry, host))
		gn_http_reply_not_run(entry->server, request, HTTP_NOT_FOUND,
				      "no-such-host", 0, NULL);
	else if (!doc || !doc->revision)
		gn_http_reply_not_run(entry->server, request, HTTP_UNAVAILABLE,
				      "no-configuration", RETRY_AFTER_S, NULL);
	else if (gn_rules_set_drain(scratch, doc->parts[GN_CONFIG_RULES].text,
				    host, drained, &changed, &error))
		refuse_request(entry, request, "rejected", error.detail);
	else
		/* The change is based on this revision and must not replace a
		 * later one. */
		start_change(entry, request, GN_CONFIG_RULES, changed,
			     doc->revision);
	talloc_free(scratch);
}

void entry_on_host_drain(void *arg, gn_http_request_t *request, gn_str_t name)
{
	set_drained(arg, request, name, true);
}

void entry_on_host_resume(void *arg, gn_http_request_t *request, gn_str_t name)
{
	set_drained(arg, request, name, false);
}
