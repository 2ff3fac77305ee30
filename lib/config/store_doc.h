/**
 * @file store_doc.h
 * @brief The accepted configuration as one document.
 *
 * Holds the inventory and the rules with the revision at which each was last
 * changed, and the latest change ids, which tell what became of a change
 * whose answer was lost after others followed it.
 */
#ifndef GN_CONFIG_STORE_DOC_H
#define GN_CONFIG_STORE_DOC_H

#include <talloc.h>

#include "platform/kv.h"

/** Change ids a document remembers. */
#define GN_CONFIG_CHANGES_MAX 64

/** What operators change. */
typedef enum gn_config_part_e {
	GN_CONFIG_INVENTORY = 0,
	GN_CONFIG_RULES,
	GN_CONFIG_PART_COUNT
} gn_config_part_t;

/** One part. */
typedef struct gn_config_text_s {
	gn_str_t text; /**< TOML; empty before the first import */
	uint64_t revision; /**< at which it was last changed; 0: never */
} gn_config_text_t;

/** A change that took effect. */
typedef struct gn_config_change_s {
	gn_str_t id; /**< 1..GN_KV_CHANGE_MAX bytes */
	uint64_t revision;
} gn_config_change_t;

/** The document; a talloc context that owns its strings. */
typedef struct gn_config_doc_s {
	uint64_t revision; /**< 0: nothing was accepted yet */
	gn_config_text_t parts[GN_CONFIG_PART_COUNT];
	gn_config_change_t changes[GN_CONFIG_CHANGES_MAX]; /**< oldest first */
	size_t change_count;
} gn_config_doc_t;

/** Creates the document of revision 0; NULL if memory is short. */
gn_config_doc_t *gn_config_doc_create(TALLOC_CTX *parent);

/** Copies @p doc; NULL if memory is short. */
gn_config_doc_t *gn_config_doc_copy(TALLOC_CTX *parent,
				    const gn_config_doc_t *doc);

/**
 * The document that follows @p base by one change.
 * @return NULL if memory is short
 */
gn_config_doc_t *gn_config_doc_change(TALLOC_CTX *parent,
				      const gn_config_doc_t *base,
				      gn_config_part_t part, gn_str_t text,
				      gn_str_t id);

/** The change called @p id if @p doc remembers it, else NULL. */
const gn_config_change_t *gn_config_doc_find(const gn_config_doc_t *doc,
					     gn_str_t id);

/** The JSON text of @p doc; free(); NULL if memory is short. */
char *gn_config_doc_encode(const gn_config_doc_t *doc);

/**
 * Decodes a stored document and checks it field by field.
 * @return GN_OK, GN_ERR_INVALID or GN_ERR_MEMORY
 */
gn_code_t gn_config_doc_decode(TALLOC_CTX *parent, gn_str_t text,
			       gn_config_doc_t **doc);

#endif
