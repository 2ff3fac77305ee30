#include "platform/settle.h"

#include <assert.h>

#include "common/str.h"

gn_kv_write_state_t gn_kv_resolve_write(const gn_kv_result_t *read,
					uint64_t expected, gn_str_t change)
{
	bool was_read = read->code == GN_OK || read->code == GN_ERR_CONFLICT ||
			read->code == GN_ERR_NOT_FOUND;

	assert(change.len);
	if (!was_read)
		return GN_KV_WRITE_UNKNOWN;
	if (!read->count)
		return expected == GN_KV_ABSENT ? GN_KV_WRITE_PENDING
						: GN_KV_WRITE_SUPERSEDED;
	if (gn_str_equal(read->entries[0].change_id, change))
		return GN_KV_WRITE_APPLIED;
	if (read->entries[0].revision <= expected)
		return GN_KV_WRITE_PENDING;
	return GN_KV_WRITE_SUPERSEDED;
}
