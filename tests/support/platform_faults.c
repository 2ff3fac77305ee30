#include "support/platform_faults.h"

#include <glib.h>
#include <stddef.h>
#include <string.h>

typedef struct fault_field_s {
	const char *name;
	bool is_flag;
	size_t offset;
} fault_field_t;

#define FLAG(name)                                             \
	{                                                      \
#name, true, offsetof(platform_faults_t, name) \
	}
#define COUNT(name)                                             \
	{                                                       \
#name, false, offsetof(platform_faults_t, name) \
	}

static const fault_field_t fields[] = {
	FLAG(down),
	FLAG(black_hole),
	FLAG(freeze_leases),
	COUNT(slow_ms),
	COUNT(lose_answers),
	COUNT(drop_requests),
	COUNT(truncate_answers),
	COUNT(garbage_answers),
	COUNT(older_reads),
	COUNT(expire_lease),
};

static const fault_field_t *find_field(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
		if (!strcmp(fields[i].name, name))
			return &fields[i];
	return NULL;
}

static bool set_field(platform_faults_t *faults, const char *name,
		      const json_t *value)
{
	const fault_field_t *field = find_field(name);
	char *member;

	if (!field)
		return false;
	member = (char *)faults + field->offset;
	if (field->is_flag && json_is_boolean(value))
		*(bool *)member = json_is_true(value);
	else if (!field->is_flag && json_is_integer(value) &&
		 json_integer_value(value) >= 0)
		*(uint64_t *)member = (uint64_t)json_integer_value(value);
	else
		return false;
	return true;
}

gn_code_t platform_faults_parse(platform_faults_t *faults, const json_t *json)
{
	platform_faults_t changed = *faults;
	const char *name;
	json_t *value;

	if (!json_is_object(json))
		return GN_ERR_INVALID;
	json_object_foreach((json_t *)json, name,
			    value) if (!set_field(&changed, name,
						  value)) return GN_ERR_INVALID;
	*faults = changed;
	return GN_OK;
}

bool platform_fault_consume(uint64_t *count)
{
	if (!*count)
		return false;
	--*count;
	return true;
}
