/**
 * @file record_doc.h
 * @brief Document that lists the member entries.
 *
 * Its revision grows with each change of membership. An acknowledgement does
 * not write the document: it is written to the entry's liveness key, and the
 * next change of membership copies it into the document. The document also
 * keeps former members and the revision each had acknowledged, for the entries
 * that take over from them.
 */
#ifndef GN_MEMBER_RECORD_DOC_H
#define GN_MEMBER_RECORD_DOC_H

#include <stdbool.h>
#include <talloc.h>

#include "gypsumnotch.h"

/** Maximum number of members. */
#define GN_RECORD_MEMBERS_MAX 256
/** Maximum number of former members kept; the oldest are removed first. */
#define GN_RECORD_LEFT_MAX 256

/** Member entry. */
typedef struct gn_record_member_s {
	/** Member incarnation of the entry, not 0, never reused. */
	uint64_t incarnation;
	char name[GN_NAME_MAX + 1];
	/** HTTP address of the entry for other entries. */
	char address[GN_ADDRESS_MAX + 1];
	uint64_t joined; /**< Record revision at which the entry joined. */
	uint64_t acked; /**< Highest record revision adopted; 0 if none. */
} gn_record_member_t;

/** Entry that has left. */
typedef struct gn_record_left_s {
	uint64_t incarnation;
	uint64_t acked; /**< Revision acknowledged when the entry left. */
	uint64_t revision; /**< Record revision at which the entry left. */
} gn_record_left_t;

/** The document; plain data that may be copied. */
typedef struct gn_record_doc_s {
	uint64_t revision;
	/** Members in the order in which they joined. */
	gn_record_member_t members[GN_RECORD_MEMBERS_MAX];
	size_t member_count;
	gn_record_left_t left[GN_RECORD_LEFT_MAX]; /**< Oldest first. */
	size_t left_count;
} gn_record_doc_t;

/* ======   Commands   ====== */

/**
 * Adds a member that joins at the document's current revision.
 * @return GN_OK, GN_ERR_CAPACITY (document full) or GN_ERR_STALE (already a
 *         member, or has left)
 */
gn_code_t gn_record_doc_add(gn_record_doc_t *doc,
			    const gn_record_member_t *member);

/**
 * Moves the member at @p index to the former members, as having left at the
 * document's current revision.
 */
void gn_record_doc_remove(gn_record_doc_t *doc, size_t index);

/* ======   Queries   ====== */

/** Returns the index of a member; member_count if there is none. */
size_t gn_record_doc_find(const gn_record_doc_t *doc, uint64_t incarnation);

/** Whether @p incarnation is among the former members. */
bool gn_record_doc_has_left(const gn_record_doc_t *doc, uint64_t incarnation);

/**
 * Returns the revision that @p incarnation, a present or former member, has
 * acknowledged; 0 if unknown.
 */
uint64_t gn_record_doc_acked(const gn_record_doc_t *doc, uint64_t incarnation);

/**
 * Encodes the document as JSON.
 * @return text to be freed with free(); NULL if out of memory
 */
char *gn_record_doc_encode(const gn_record_doc_t *doc);

/**
 * Decodes the document and validates every field.
 * @return GN_OK or GN_ERR_INVALID
 */
gn_code_t gn_record_doc_decode(gn_str_t text, gn_record_doc_t *doc);

#endif
