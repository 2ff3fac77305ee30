/**
 * @file record_live.h
 * @brief The key by which an entry shows that it lives and asks to be in.
 *
 * Bound to the entry's lease and written by that entry alone. It carries what
 * the member record says of the entry, and the revision of the record that it
 * has acknowledged, so that acknowledgements don't contend for one key.
 */
#ifndef GN_MEMBER_RECORD_LIVE_H
#define GN_MEMBER_RECORD_LIVE_H

#include <stdbool.h>

#include "member/record_doc.h"

/** Longest key of an entry, with its terminator. */
#define GN_RECORD_LIVE_KEY_SIZE 32

/** A live key. */
typedef struct gn_record_live_s {
	uint64_t incarnation;
	char name[GN_NAME_MAX + 1];
	char address[GN_ADDRESS_MAX + 1];
	uint64_t acked;
	uint64_t key_revision; /**< of the key in the service */
} gn_record_live_t;

/** Writes the key of @p incarnation. */
void gn_record_live_key(uint64_t incarnation,
			char key[GN_RECORD_LIVE_KEY_SIZE]);

/** The incarnation of a live key; 0: it is none. */
uint64_t gn_record_live_parse_key(gn_str_t key);

/** The JSON text of the value; free(); NULL if memory is short. */
char *gn_record_live_encode(const gn_record_live_t *live);

/** Decodes name, address and acked; whether they are well formed. */
bool gn_record_live_decode(gn_str_t text, gn_record_live_t *live);

#endif
