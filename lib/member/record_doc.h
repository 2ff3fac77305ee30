/**
 * @file record_doc.h
 * @brief The member record of the entries, as one document.
 *
 * Its revision grows with each change of membership; an acknowledgement
 * changes the document but not the revision. Members that left are remembered
 * with what they had acknowledged, for those who take over from them.
 */
#ifndef GN_MEMBER_RECORD_DOC_H
#define GN_MEMBER_RECORD_DOC_H

#include <stdbool.h>
#include <talloc.h>

#include "gypsumnotch.h"

/** Most members. */
#define GN_RECORD_MEMBERS_MAX 256
/** Members that left, of which the record remembers the latest. */
#define GN_RECORD_LEFT_MAX 256

/** An entry. */
typedef struct gn_record_member_s {
	uint64_t incarnation; /**< of its process, not 0, never used again */
	char name[GN_NAME_MAX + 1];
	char address[GN_ADDRESS_MAX + 1]; /**< of its link to other entries */
	uint64_t joined; /**< record revision at which it joined */
	uint64_t acked; /**< highest record revision it adopted; 0: none */
} gn_record_member_t;

/** An entry that left. */
typedef struct gn_record_left_s {
	uint64_t incarnation;
	uint64_t acked; /**< when it left */
	uint64_t revision; /**< record revision at which it left */
} gn_record_left_t;

/** The document; plain data, may be copied. */
typedef struct gn_record_doc_s {
	uint64_t revision;
	gn_record_member_t members[GN_RECORD_MEMBERS_MAX]; /**< as joined */
	size_t member_count;
	gn_record_left_t left[GN_RECORD_LEFT_MAX]; /**< oldest first */
	size_t left_count;
} gn_record_doc_t;

/* ======   Commands   ====== */

/**
 * Adds a member at the document's revision.
 * @return GN_OK; GN_ERR_CAPACITY; GN_ERR_STALE: it is there or has left
 */
gn_code_t gn_record_doc_add(gn_record_doc_t *doc,
			    const gn_record_member_t *member);

/** Moves the member at @p index to those that left, at the revision. */
void gn_record_doc_remove(gn_record_doc_t *doc, size_t index);

/* ======   Queries   ====== */

/** The index of a member; member_count if there is none. */
size_t gn_record_doc_find(const gn_record_doc_t *doc, uint64_t incarnation);

/** Whether the document remembers that @p incarnation left. */
bool gn_record_doc_has_left(const gn_record_doc_t *doc, uint64_t incarnation);

/** What @p incarnation had acknowledged, member or not; 0: not known. */
uint64_t gn_record_doc_acked(const gn_record_doc_t *doc, uint64_t incarnation);

/** The JSON text; free(); NULL if memory is short. */
char *gn_record_doc_encode(const gn_record_doc_t *doc);

/** Decodes and checks field by field; GN_OK or GN_ERR_INVALID. */
gn_code_t gn_record_doc_decode(gn_str_t text, gn_record_doc_t *doc);

#endif
