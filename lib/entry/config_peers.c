/**
 * @file config_peers.c
 * @brief Fetches the configuration from other entries if the platform's
 *        key-value service does not respond.
 *
 * An entry that is cut off from the key-value service would otherwise keep an
 * outdated configuration. It queries the other entries in its member record in
 * turn, and each returns its document if that is newer. A document that a peer
 * uses has been accepted, so adopting it is equivalent to adopting it from the
 * key-value service. The document is decoded and checked completely first, and
 * ignored unless it is newer than the current one.
 */
#include <inttypes.h>

#include "common/log.h"
#include "entry/config.h"
#include "entry/membership.h"
#include "entry/peers.h"
#include "http/status.h"

#define STEP "config"
#define PEER_CONFIG_PATH "/v1/peers/config"
/** Minimum interval between requests to peers, in milliseconds. */
#define REQUEST_INTERVAL_MS 250
/**
 * The key-value service is considered silent after this time, in milliseconds.
 * A watch call gets a response after at most GN_STORE_WATCH_WAIT_MS.
 */
#define WATCH_SILENCE_MS (GN_STORE_WATCH_WAIT_MS + 500)

static uint64_t get_current_revision(const entry_config_t *config)
{
	const gn_config_doc_t *doc = gn_store_current(config->store);

	return doc ? doc->revision : 0;
}

/* ======   Requests to peers   ====== */

static bool any_worker_has_newer(const entry_t *entry)
{
	uint64_t revision = get_current_revision(entry->config);
	GHashTableIter iter;
	gpointer worker;

	g_hash_table_iter_init(&iter, entry->workers);
	while (g_hash_table_iter_next(&iter, NULL, &worker))
		if (((entry_worker_t *)worker)->config_revision > revision)
			return true;
	return false;
}

static bool may_be_stale(const entry_t *entry, uint64_t now_us)
{
	uint64_t last_response_us =
		gn_store_last_response_us(entry->config->store);

	return now_us - last_response_us > WATCH_SILENCE_MS * GN_US_PER_MS ||
	       any_worker_has_newer(entry);
}

/* Logs a refused revision only once, since peers offer it repeatedly. */
static void log_refused(entry_config_t *config, uint64_t revision,
			const gn_error_t *error)
{
	if (revision == config->refused_revision)
		return;
	config->refused_revision = revision;
	gn_log_error(LOG_ERR, error);
}

static void offer_document(entry_config_t *config, gn_str_t text)
{
	gn_config_doc_t *doc;
	gn_error_t error = { 0 };
	gn_code_t code = gn_config_doc_decode(config, text, &doc);

	if (code) {
		gn_log(LOG_ERR, STEP, NULL,
		       "configuration document of a peer is malformed");
		return;
	}
	code = gn_store_offer(config->store, doc, &error);
	if (!code)
		gn_counter_inc(config->fetched);
	else if (code != GN_ERR_STALE)
		log_refused(config, doc->revision, &error);
	talloc_free(doc);
}

static void on_peer_config(void *arg, const gn_http_call_t *call)
{
	entry_t *entry = arg;
	json_t *json;
	json_t *document;

	/* The HTTP client is freed after the configuration and then ends its
	 * pending calls. */
	if (!entry->config || call->code || call->status != HTTP_OK)
		return;
	json = json_loadb(call->answer ? call->answer : "", call->answer_len, 0,
			  NULL);
	document = json_object_get(json, "document");
	if (json_is_string(document))
		offer_document(entry->config,
			       (gn_str_t){ json_string_value(document),
					   json_string_length(document) });
	json_decref(json);
}

/* Returns the next other member of the record in turn; NULL if none. */
static const gn_record_member_t *pick_next_peer(entry_t *entry)
{
	const gn_record_doc_t *doc =
		gn_record_adopted(entry->membership->record);

	for (size_t i = 0; doc && i < doc->member_count; i++) {
		uint64_t index =
			entry->config->next_peer_index++ % doc->member_count;

		if (!entry_membership_is_self(entry, &doc->members[index]))
			return &doc->members[index];
	}
	return NULL;
}

void entry_config_fetch_from_peers(entry_t *entry)
{
	entry_config_t *config = entry->config;
	uint64_t now_us = gn_runtime_now_us(entry->runtime);
	const gn_record_member_t *peer;
	json_t *json;

	if (now_us - config->last_peer_check_us <
	    REQUEST_INTERVAL_MS * GN_US_PER_MS)
		return;
	config->last_peer_check_us = now_us;
	if (!may_be_stale(entry, now_us))
		return;
	peer = pick_next_peer(entry);
	if (!peer)
		return;
	json = json_pack("{s:I}", "revision",
			 (json_int_t)get_current_revision(config));
	if (entry_peer_call(entry, peer->address, PEER_CONFIG_PATH, json,
			    on_peer_config, entry))
		gn_log(LOG_ERR, STEP, peer->address, "error=memory");
}

/* ======   Requests from peers   ====== */

static json_t *encode_if_newer(const gn_config_doc_t *doc, uint64_t revision)
{
	char *text = NULL;
	json_t *json;

	if (doc && doc->revision > revision)
		text = gn_config_doc_encode(doc);
	json = json_pack("{s:s?}", "document", text);
	free(text);
	return json;
}

void entry_on_peer_config(void *arg, gn_http_request_t *request, gn_str_t name)
{
	entry_t *entry = arg;
	json_t *json = json_loadb(request->body ? request->body : "",
				  request->body_len, 0, NULL);
	const json_t *revision = json_object_get(json, "revision");

	(void)name;
	if (!json_is_integer(revision) || json_integer_value(revision) < 0)
		gn_http_reply_not_run(entry->server, request, HTTP_BAD_REQUEST,
				      "malformed", 0, NULL);
	else
		gn_http_reply_json(
			entry->server, request, HTTP_OK,
			encode_if_newer(
				gn_store_current(entry->config->store),
				(uint64_t)json_integer_value(revision)));
	json_decref(json);
}
