/**
 * @file settle.h
 * @brief Determines whether a write was applied whose answer was lost.
 *
 * The key is read back for this. A write may be sent again only with the same
 * expected revision and change ID: since revisions only increase, the
 * platform's key-value service applies at most one of the copies. A key that is
 * created with GN_KV_ABSENT must not be deleted while the result of a write to
 * it is unknown, since it would then match GN_KV_ABSENT a second time.
 */
#ifndef GN_PLATFORM_SETTLE_H
#define GN_PLATFORM_SETTLE_H

#include "platform/kv.h"

/** The state of a write. */
typedef enum gn_kv_write_state_e {
	/** It was applied and is the latest write of its key. */
	GN_KV_WRITE_APPLIED = 0,
	/** It was not applied, but a copy in transit may yet be. */
	GN_KV_WRITE_PENDING,
	/**
	 * A later write has changed the key, so that no copy can be applied any
	 * more. Only the history within the value can show whether one was
	 * applied before the later write.
	 */
	GN_KV_WRITE_SUPERSEDED,
	/** The key could not be read. */
	GN_KV_WRITE_UNKNOWN
} gn_kv_write_state_t;

/**
 * Determines the state of a write.
 * @param read result of a later read of the key, or of a repeated copy of the
 *        write that ended with a conflict
 * @param expected the revision that the write expected
 * @param change the change ID of the write, not empty
 */
gn_kv_write_state_t gn_kv_resolve_write(const gn_kv_result_t *read,
					uint64_t expected, gn_str_t change);

#endif
