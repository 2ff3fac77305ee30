#include "executor/notice.h"

#include <string.h>

#include "common/str.h"
#include "config/address.h"

/* Compares the addresses, not their texts. */
static bool is_same_address(const char *left, const char *right)
{
	struct sockaddr_storage a;
	struct sockaddr_storage b;

	memset(&a, 0, sizeof(a));
	memset(&b, 0, sizeof(b));
	return !gn_address_parse(gn_str_from(left), &a) &&
	       !gn_address_parse(gn_str_from(right), &b) &&
	       !memcmp(&a, &b, sizeof(a));
}

/* A worker may announce another address than the one where it is called. */
static bool is_foreign(const gn_worker_notice_t *notice,
		       const gn_notice_view_t *view)
{
	return view->last &&
	       is_same_address(view->last->address, view->worker_address) &&
	       !is_same_address(notice->address, view->worker_address);
}

gn_life_t gn_notice_get_life(const gn_worker_notice_t *notice)
{
	return (gn_life_t){ notice->life, notice->life_started_ms };
}

static bool is_same_life(const gn_worker_notice_t *left,
			 const gn_worker_notice_t *right)
{
	return gn_life_equals(gn_notice_get_life(left),
			      gn_notice_get_life(right));
}

static bool is_far_ahead(const gn_worker_notice_t *notice,
			 const gn_worker_notice_t *last)
{
	return is_same_life(notice, last) &&
	       notice->sequence > last->sequence &&
	       notice->sequence - last->sequence > GN_NOTICE_SEQUENCE_GAP;
}

const char *gn_notice_get_fault(const gn_worker_notice_t *notice,
				const gn_notice_view_t *view)
{
	struct sockaddr_storage address;

	if (notice->deregisters)
		return NULL;
	if (gn_address_parse(gn_str_from(notice->address), &address))
		return "its address is malformed";
	if (is_foreign(notice, view))
		return "its address is not that of the worker";
	if (notice->life_started_ms > view->wall_ms + GN_LIFE_AHEAD_MS)
		return "its start is in the future";
	if (notice->cpu_milli > GN_NOTICE_CAPACITY_MAX ||
	    notice->memory_mb > GN_NOTICE_CAPACITY_MAX ||
	    notice->accelerators > GN_NOTICE_CAPACITY_MAX)
		return "a capacity is too large";
	if (view->last && is_far_ahead(notice, view->last))
		return "its sequence number is too far ahead";
	return NULL;
}

bool gn_notice_is_outdated(const gn_worker_notice_t *notice,
			   const gn_worker_notice_t *last)
{
	return is_same_life(notice, last) &&
	       notice->sequence <= last->sequence &&
	       last->sequence - notice->sequence <= GN_NOTICE_SEQUENCE_GAP;
}
