#include "executor/life_age.h"

#include <glib.h>

#include "common/clock.h"

void gn_life_age_begin(gn_life_age_t *age, uint64_t former,
		       uint64_t unknown_until_us)
{
	*age = (gn_life_age_t){ .former = former,
				.unknown_until_us = unknown_until_us };
}

static bool is_counting(const gn_life_age_t *age, uint64_t epoch)
{
	return age->since_us && (!age->unknown_until_us || age->epoch >= epoch);
}

void gn_life_age_record_list(gn_life_age_t *age, uint64_t token, uint64_t epoch,
			     uint64_t now_us)
{
	if (token <= age->former)
		return;
	if (!age->first_us)
		age->first_us = now_us;
	if ((age->unknown_until_us && token < epoch) || is_counting(age, epoch))
		return;
	age->epoch = epoch;
	age->since_us = now_us;
}

uint32_t gn_life_age_get_ms(const gn_life_age_t *age, uint64_t epoch,
			    uint64_t now_us)
{
	uint64_t since_us = UINT64_MAX;
	uint64_t age_ms;

	if (is_counting(age, epoch))
		since_us = age->since_us;
	if (age->unknown_until_us && age->first_us)
		since_us = MIN(since_us,
			       MAX(age->first_us, age->unknown_until_us));
	if (now_us < since_us)
		return UINT32_MAX;
	age_ms = (now_us - since_us) / GN_US_PER_MS;
	return age_ms > UINT32_MAX ? UINT32_MAX : (uint32_t)age_ms;
}
