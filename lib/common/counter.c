#include "common/counter.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

typedef struct named_counter_s {
	struct named_counter_s *next;
	const char *name;
	gn_counter_t counter;
} named_counter_t;

struct gn_counters_s {
	named_counter_t *first;
};

gn_counters_t *gn_counters_create(TALLOC_CTX *parent)
{
	return talloc_zero(parent, gn_counters_t);
}

gn_counter_t *gn_counters_get(gn_counters_t *counters, const char *name)
{
	named_counter_t *named;

	for (named = counters->first; named; named = named->next)
		if (!strcmp(named->name, name))
			return &named->counter;
	named = talloc_zero(counters, named_counter_t);
	if (!named)
		return NULL;
	named->name = name;
	named->next = counters->first;
	counters->first = named;
	return &named->counter;
}

void gn_counter_add(gn_counter_t *counter, uint64_t amount)
{
	atomic_fetch_add_explicit(&counter->value, amount,
				  memory_order_relaxed);
}

void gn_counter_inc(gn_counter_t *counter)
{
	gn_counter_add(counter, 1);
}

void gn_counter_set(gn_counter_t *counter, uint64_t value)
{
	atomic_store_explicit(&counter->value, value, memory_order_relaxed);
}

uint64_t gn_counter_read(const gn_counter_t *counter)
{
	return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

char *gn_counters_format_text(const gn_counters_t *counters)
{
	char *text = NULL;
	size_t size = 0;
	FILE *stream = open_memstream(&text, &size);

	if (!stream)
		return NULL;
	for (const named_counter_t *named = counters->first; named;
	     named = named->next)
		fprintf(stream, "%s %" PRIu64 "\n", named->name,
			gn_counter_read(&named->counter));
	fclose(stream);
	return text;
}

json_t *gn_counters_to_json(const gn_counters_t *counters)
{
	json_t *object = json_object();

	for (const named_counter_t *named = counters->first; named;
	     named = named->next) {
		json_int_t value = (json_int_t)gn_counter_read(&named->counter);

		json_object_set_new(object, named->name, json_integer(value));
	}
	return object;
}
