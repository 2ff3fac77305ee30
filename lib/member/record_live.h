/**
 * @file record_live.h
 * @brief Liveness key, which shows that an entry is alive and wants to join.
 *
 * The key is bound to the entry's lease and written by that entry only. Its
 * value has the entry's name and address as in the member record, and the
 * revision of the record that the entry has acknowledged. Keeping
 * acknowledgements here avoids contention on the record's key.
 */
#ifndef GN_MEMBER_RECORD_LIVE_H
#define GN_MEMBER_RECORD_LIVE_H

#include <stdbool.h>

#include "member/record_doc.h"

/** Maximum size of a liveness key, including the terminator. */
#define GN_RECORD_LIVE_KEY_SIZE 32

/** Decoded liveness key. */
typedef struct gn_record_live_s {
	uint64_t incarnation;
	char name[GN_NAME_MAX + 1];
	char address[GN_ADDRESS_MAX + 1];
	uint64_t acked; /**< Record revision acknowledged by the entry. */
	uint64_t key_revision; /**< Revision of the liveness key. */
} gn_record_live_t;

/** Formats the liveness key of @p incarnation into @p key. */
void gn_record_live_key(uint64_t incarnation,
			char key[GN_RECORD_LIVE_KEY_SIZE]);

/** Returns the incarnation in a liveness key; 0 if @p key is not one. */
uint64_t gn_record_live_parse_key(gn_str_t key);

/**
 * Encodes the value as JSON.
 * @return text to be freed with free(); NULL if out of memory
 */
char *gn_record_live_encode(const gn_record_live_t *live);

/**
 * Decodes name, address and acked from a value.
 * @return false if a field is missing or malformed
 */
bool gn_record_live_decode(gn_str_t text, gn_record_live_t *live);

#endif
