/**
 * @file store_doc.h
 * @brief The configuration document.
 *
 * The document consists of the inventory and the rules, each with the revision
 * of its last change, and of the IDs of the latest changes. These IDs show
 * whether a change whose response was lost took effect, also after later
 * changes.
 */
#ifndef GN_CONFIG_STORE_DOC_H
#define GN_CONFIG_STORE_DOC_H

#include <talloc.h>

#include "platform/kv.h"

/** Number of latest change IDs in a document. */
#define GN_CONFIG_CHANGES_MAX 64

/** The parts of a document, which operators change separately. */
typedef enum gn_config_part_e {
	GN_CONFIG_INVENTORY = 0,
	GN_CONFIG_RULES,
	GN_CONFIG_PART_COUNT
} gn_config_part_t;

/** The text of one part. */
typedef struct gn_config_text_s {
	gn_str_t text; /**< TOML; empty before the first change. */
	uint64_t revision; /**< Revision of the last change; 0: never. */
} gn_config_text_t;

/** An accepted change. */
typedef struct gn_config_change_s {
	gn_str_t id; /**< ID of 1..GN_KV_CHANGE_MAX bytes. */
	uint64_t revision;
} gn_config_change_t;

/** A document; it is the talloc parent of its strings. */
typedef struct gn_config_doc_s {
	uint64_t revision; /**< 0 means that no change was accepted yet. */
	gn_config_text_t parts[GN_CONFIG_PART_COUNT];
	/** Latest changes, the oldest first. */
	gn_config_change_t changes[GN_CONFIG_CHANGES_MAX];
	size_t change_count;
} gn_config_doc_t;

/** Creates an empty document of revision 0; returns NULL if out of memory. */
gn_config_doc_t *gn_config_doc_create(TALLOC_CTX *parent);

/** Copies @p doc; returns NULL if out of memory. */
gn_config_doc_t *gn_config_doc_copy(TALLOC_CTX *parent,
				    const gn_config_doc_t *doc);

/**
 * Creates the next revision of @p base, with one part changed.
 * @param id ID of the change
 * @return the new document, or NULL if out of memory
 */
gn_config_doc_t *gn_config_doc_change(TALLOC_CTX *parent,
				      const gn_config_doc_t *base,
				      gn_config_part_t part, gn_str_t text,
				      gn_str_t id);

/** Returns the change called @p id, or NULL if @p doc doesn't have it. */
const gn_config_change_t *gn_config_doc_find(const gn_config_doc_t *doc,
					     gn_str_t id);

/** Encodes @p doc as JSON, to be freed with free(); NULL if out of memory. */
char *gn_config_doc_encode(const gn_config_doc_t *doc);

/**
 * Decodes and validates a document in JSON.
 * @param doc set on success only
 * @return GN_OK, GN_ERR_INVALID or GN_ERR_MEMORY
 */
gn_code_t gn_config_doc_decode(TALLOC_CTX *parent, gn_str_t text,
			       gn_config_doc_t **doc);

#endif
