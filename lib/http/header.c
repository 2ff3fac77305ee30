#include "http/header.h"

#include <assert.h>

static const char *const names[GN_HEADER_COUNT] = {
	[GN_HEADER_CLASS] = "Gypsumnotch-Class",
	[GN_HEADER_DEADLINE] = "Gypsumnotch-Deadline-Ms",
	[GN_HEADER_TEAM] = "Gypsumnotch-Team",
	[GN_HEADER_SERVICE] = "Gypsumnotch-Service",
	[GN_HEADER_REPEATABLE] = "Gypsumnotch-Repeatable",
	[GN_HEADER_KIND] = "Gypsumnotch-Kind",
	[GN_HEADER_PRIORITY] = "Gypsumnotch-Priority",
	[GN_HEADER_CORES] = "Gypsumnotch-Cores",
	[GN_HEADER_MEMORY] = "Gypsumnotch-Memory-Mb",
	[GN_HEADER_ACCELERATORS] = "Gypsumnotch-Accelerators",
	[GN_HEADER_RUN] = "Gypsumnotch-Run-Ms",
	[GN_HEADER_CHECKPOINT] = "Gypsumnotch-Checkpoint-Ms",
	[GN_HEADER_IF_REVISION] = "If-Revision",
	[GN_HEADER_CHANGE_ID] = "Change-Id",
	[GN_HEADER_KEY] = "Idempotency-Key",
	[GN_HEADER_HOST] = "Host",
};

const char *gn_header_name(gn_header_t header)
{
	assert((unsigned)header < GN_HEADER_COUNT);
	return names[header];
}
