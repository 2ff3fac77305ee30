/**
 * @file kv_cases.h
 * @brief The contract of kv.h as a table of cases, for any implementation.
 */
#ifndef GN_TESTS_KV_CASES_H
#define GN_TESTS_KV_CASES_H

#include <glib.h>

#include "platform/kv.h"

/** An implementation under test. */
typedef struct kv_rig_s {
	gn_kv_t *kv;
	/** Runs until the calls in progress have ended. */
	void (*run)(void *context);
	/** Lets @p lease lapse. */
	void (*lapse)(void *context, uint64_t lease);
	void *context;
} kv_rig_t;

/** A copy of a result. */
typedef struct kv_reply_s {
	unsigned calls; /**< how often the callback ran */
	gn_code_t code;
	uint64_t revision;
	uint64_t lease;
	size_t count;
	char *key; /**< of entries[0], as are those below */
	char *value;
	size_t value_len;
	char *change;
	uint64_t key_revision;
	bool deleted;
} kv_reply_t;

/** A gn_kv_done_t that copies the result into a kv_reply_t. */
void kv_reply_take(void *context, const gn_kv_result_t *result);

/** Frees the copy and zeroes it. */
void kv_reply_clear(kv_reply_t *reply);

/** Adds one test for each case under @p path. */
void kv_cases_add(const char *path, GTestDataFunc test);

/** Runs the case that a test got as data. */
void kv_case_run(const void *data, kv_rig_t *rig);

#endif
