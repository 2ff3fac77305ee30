#include "entry/peer_beats.h"

#include <stdio.h>

/** Number of heartbeats to a peer per heartbeat timeout. */
#define BEATS_PER_TIMEOUT 2
/** Time after the last call until heartbeats to a peer end, in milliseconds;
 * the HTTP client keeps an idle connection no longer than that. */
#define PEER_EXPIRY_MS 120000
#define BEAT_PATH "/v1/status"

/* A peer that this entry has recently called. */
typedef struct peer_s {
	uint64_t last_call_us;
	uint64_t last_beat_us; /**< When the last heartbeat was sent. */
} peer_t;

struct entry_peer_beats_s {
	GHashTable *peers; /**< peer_t by address; owns both. */
};

static int beats_destructor(entry_peer_beats_t *beats)
{
	g_hash_table_destroy(beats->peers);
	return 0;
}

gn_code_t entry_peer_beats_open(entry_t *entry)
{
	entry_peer_beats_t *beats = talloc_zero(entry, entry_peer_beats_t);

	if (!beats)
		return GN_ERR_MEMORY;
	beats->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(beats, beats_destructor);
	entry->peer_beats = beats;
	return GN_OK;
}

void entry_peer_beats_record_call(entry_t *entry, const char *address)
{
	GHashTable *peers = entry->peer_beats->peers;
	peer_t *peer = g_hash_table_lookup(peers, address);

	if (!peer) {
		peer = g_new0(peer_t, 1);
		g_hash_table_insert(peers, g_strdup(address), peer);
	}
	peer->last_call_us = gn_runtime_now_us(entry->runtime);
}

/* Ignores the result, from which the HTTP client has already concluded whether
 * the connection is silent. */
static void on_beat(void *arg, const gn_http_call_t *call)
{
	(void)arg;
	(void)call;
}

static void send_beat(entry_t *entry, const char *address)
{
	gn_http_call_t *call = gn_http_call_create();

	if (!call)
		return;
	call->method = GN_HTTP_GET;
	snprintf(call->url, sizeof(call->url), "http://%s" BEAT_PATH, address);
	call->timeout_ms = entry->runtime->settings->beat_timeout_ms;
	call->done = on_beat;
	gn_http_client_call(entry->client, call);
}

void entry_peer_beats_tick(entry_t *entry)
{
	uint64_t now_us = gn_runtime_now_us(entry->runtime);
	uint64_t interval_us =
		(uint64_t)entry->runtime->settings->beat_timeout_ms *
		GN_US_PER_MS / BEATS_PER_TIMEOUT;
	GHashTableIter iter;
	gpointer address;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->peer_beats->peers);
	while (g_hash_table_iter_next(&iter, &address, &value)) {
		peer_t *peer = value;

		if (now_us - peer->last_call_us >
		    PEER_EXPIRY_MS * GN_US_PER_MS) {
			g_hash_table_iter_remove(&iter);
		} else if (now_us - peer->last_beat_us >= interval_us) {
			peer->last_beat_us = now_us;
			send_beat(entry, address);
		}
	}
}
