#include "executor/life_age.h"

#include "common/clock.h"

void gn_life_age_begin(gn_life_age_t *age, uint64_t former, bool follows_epoch)
{
	*age = (gn_life_age_t){ .former = former,
				.follows_epoch = follows_epoch };
}

static bool is_counting(const gn_life_age_t *age, uint64_t epoch)
{
	return age->since_us && (!age->follows_epoch || age->epoch >= epoch);
}

void gn_life_age_record_list(gn_life_age_t *age, uint64_t token, uint64_t epoch,
			     uint64_t now_us)
{
	if (token <= age->former || (age->follows_epoch && token < epoch) ||
	    is_counting(age, epoch))
		return;
	age->epoch = epoch;
	age->since_us = now_us;
}

uint32_t gn_life_age_get_ms(const gn_life_age_t *age, uint64_t epoch,
			    uint64_t now_us)
{
	uint64_t age_ms = (now_us - age->since_us) / GN_US_PER_MS;

	if (!is_counting(age, epoch) || age_ms > UINT32_MAX)
		return UINT32_MAX;
	return (uint32_t)age_ms;
}
