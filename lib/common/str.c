#include "common/str.h"

#include <string.h>
#include <xxhash.h>

#define DECIMAL_BASE 10

gn_str_t gn_str_from(const char *text)
{
	gn_str_t str = { text ? text : "", text ? strlen(text) : 0 };

	return str;
}

bool gn_str_equal(gn_str_t a, gn_str_t b)
{
	return a.len == b.len && (!a.len || !memcmp(a.data, b.data, a.len));
}

gn_code_t gn_str_copy(char *to, size_t size, gn_str_t from)
{
	to[0] = '\0';
	if (from.len >= size)
		return GN_ERR_RANGE;
	if (from.len)
		memcpy(to, from.data, from.len);
	to[from.len] = '\0';
	return GN_OK;
}

gn_code_t gn_str_parse_u64(gn_str_t text, uint64_t max, uint64_t *value)
{
	uint64_t sum = 0;

	if (!text.len)
		return GN_ERR_INVALID;
	for (size_t i = 0; i < text.len; i++) {
		uint64_t digit = (uint64_t)(text.data[i] - '0');

		if (text.data[i] < '0' || text.data[i] > '9')
			return GN_ERR_INVALID;
		if (digit > max || sum > (max - digit) / DECIMAL_BASE)
			return GN_ERR_RANGE;
		sum = sum * DECIMAL_BASE + digit;
	}
	*value = sum;
	return GN_OK;
}

uint64_t gn_str_hash(gn_str_t text, uint64_t seed)
{
	return XXH64(text.data, text.len, seed);
}
