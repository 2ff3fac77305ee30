/**
 * @file kv_cases.h
 * @brief Test cases for the contract of kv.h, for any implementation.
 */
#ifndef GN_TESTS_KV_CASES_H
#define GN_TESTS_KV_CASES_H

#include <glib.h>

#include "platform/kv.h"

/** An implementation under test. */
typedef struct kv_impl_s {
	gn_kv_t *kv;
	/** Runs until all calls in progress have ended. */
	void (*run)(void *context);
	/** Makes @p lease expire. */
	void (*expire_lease)(void *context, uint64_t lease);
	void *context;
} kv_impl_t;

/** A copy of a result. */
typedef struct kv_reply_s {
	unsigned calls; /**< Number of calls of the callback. */
	gn_code_t code;
	uint64_t revision;
	uint64_t lease;
	size_t count;
	char *key; /**< Copied from entries[0], as the members below. */
	char *value;
	size_t value_len;
	char *change;
	uint64_t key_revision;
	bool deleted;
} kv_reply_t;

/** A gn_kv_done_t that copies the result into a kv_reply_t. */
void kv_reply_store(void *context, const gn_kv_result_t *result);

/** Frees the texts of a copy and zeroes it. */
void kv_reply_clear(kv_reply_t *reply);

/** Adds one test per case, with a path below @p path. */
void kv_cases_add(const char *path, GTestDataFunc test);

/** Runs the case that a test received as @p data. */
void kv_case_run(const void *data, kv_impl_t *impl);

#endif
