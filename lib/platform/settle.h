/**
 * @file settle.h
 * @brief What became of a write whose answer was lost.
 *
 * The key is read back. A write is never repeated blindly: it may be sent
 * again only with the same expected revision and change id, of which the
 * service can apply at most one copy, since revisions only grow. (A key that
 * is created with GN_KV_ABSENT must not be deleted while a write of it is
 * unsettled: its revision would be "absent" a second time.)
 */
#ifndef GN_PLATFORM_SETTLE_H
#define GN_PLATFORM_SETTLE_H

#include "platform/kv.h"

/** What is known about a write. */
typedef enum gn_kv_settled_e {
	/** it took effect and is the latest write of its key */
	GN_KV_SETTLED_DONE = 0,
	/** not yet, but a copy on its way may still take effect */
	GN_KV_SETTLED_OPEN,
	/**
	 * the key has moved on: no copy can take effect any more; whether one
	 * did, before the later write, only the value's own history can tell
	 */
	GN_KV_SETTLED_PAST,
	/** the key couldn't be read */
	GN_KV_SETTLED_UNKNOWN
} gn_kv_settled_t;

/**
 * Judges a write by a later read of its key, or by the conflict that a
 * repeated copy met.
 * @param expected the revision that the write expected
 * @param change its change id, not empty
 */
gn_kv_settled_t gn_kv_settle(const gn_kv_result_t *read, uint64_t expected,
			     gn_str_t change);

#endif
