#include "member/record_live.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/str.h"
#include "member/record.h"

#define HEX_DIGITS 16
#define HEX_BASE 16

void gn_record_live_key(uint64_t incarnation, char key[GN_RECORD_LIVE_KEY_SIZE])
{
	snprintf(key, GN_RECORD_LIVE_KEY_SIZE,
		 GN_RECORD_LIVE_PREFIX "%016" PRIx64, incarnation);
}

uint64_t gn_record_live_parse_key(gn_str_t key)
{
	gn_str_t prefix = GN_STR(GN_RECORD_LIVE_PREFIX);
	char digits[HEX_DIGITS + 1];
	char *end;
	uint64_t incarnation;

	if (key.len != prefix.len + HEX_DIGITS ||
	    memcmp(key.data, prefix.data, prefix.len) != 0)
		return 0;
	memcpy(digits, key.data + prefix.len, HEX_DIGITS);
	digits[HEX_DIGITS] = '\0';
	incarnation = strtoull(digits, &end, HEX_BASE);
	return *end ? 0 : incarnation;
}

char *gn_record_live_encode(const gn_record_live_t *live)
{
	json_t *object =
		json_pack("{s:s, s:s, s:I}", "name", live->name, "address",
			  live->address, "acked", (json_int_t)live->acked);
	char *text = json_dumps(object, JSON_COMPACT);

	json_decref(object);
	return text;
}

static bool read_text(const json_t *object, const char *name, char *to,
		      size_t size)
{
	const json_t *text = json_object_get(object, name);
	gn_str_t str = { json_string_value(text), json_string_length(text) };

	return str.data && str.len && gn_str_copy(to, size, str) == GN_OK;
}

bool gn_record_live_decode(gn_str_t text, gn_record_live_t *live)
{
	json_t *object =
		json_loadb(text.data, text.len, JSON_REJECT_DUPLICATES, NULL);
	const json_t *acked = json_object_get(object, "acked");
	bool is_valid =
		json_is_integer(acked) && json_integer_value(acked) >= 0 &&
		read_text(object, "name", live->name, sizeof(live->name)) &&
		read_text(object, "address", live->address,
			  sizeof(live->address));

	if (is_valid)
		live->acked = (uint64_t)json_integer_value(acked);
	json_decref(object);
	return is_valid;
}
