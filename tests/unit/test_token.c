/* Fencing tokens of the calls to a worker over its lives. */
#include <glib.h>

#include "executor/token.h"

static void test_token_follows_the_leader(void)
{
	const gn_token_t token = { 0 };

	g_assert_cmpuint(gn_token_get(&token, 7), ==, 7);
	g_assert_cmpuint(gn_token_get(&token, 9), ==, 9);
}

static void test_token_is_raised_once_for_a_life(void)
{
	gn_token_t token = { 0 };

	g_assert_true(gn_token_raise(&token, 7));
	g_assert_false(gn_token_raise(&token, 7));
	g_assert_cmpuint(gn_token_get(&token, 7), ==, 8);
	gn_token_begin_life(&token);
	g_assert_cmpuint(gn_token_get(&token, 7), ==, 8);
	g_assert_true(gn_token_raise(&token, 7));
	g_assert_cmpuint(gn_token_get(&token, 7), ==, 9);
}

static void test_later_epoch_ends_a_raise(void)
{
	gn_token_t token = { 0 };

	gn_token_raise(&token, 7);
	gn_token_begin_life(&token);
	g_assert_cmpuint(gn_token_get(&token, 12), ==, 12);
	gn_token_raise(&token, 12);
	g_assert_cmpuint(gn_token_get(&token, 12), ==, 13);
}

/* The worker that was taken for gone goes on, and crashes later. */
static void test_start_with_the_raised_token_is_fenced_off(void)
{
	gn_token_t token = { 0 };

	g_assert_true(gn_token_raise(&token, 7));
	gn_token_record_call(&token);
	g_assert_true(gn_token_raise(&token, 7));
	g_assert_cmpuint(gn_token_get(&token, 7), ==, 9);
	g_assert_false(gn_token_raise(&token, 7));
}

static void test_former_calls_have_a_lower_token(void)
{
	gn_token_t token = { 0 };

	g_assert_cmpuint(gn_token_get_former(&token, 7), ==, 7);
	gn_token_raise(&token, 7);
	g_assert_cmpuint(gn_token_get_former(&token, 7), ==, 7);
	g_assert_cmpuint(gn_token_get_former(&token, 12), ==, 7);
	gn_token_record_call(&token);
	g_assert_cmpuint(gn_token_get_former(&token, 12), ==, 12);
	gn_token_raise(&token, 12);
	g_assert_cmpuint(gn_token_get_former(&token, 12), ==, 12);
	gn_token_begin_life(&token);
	g_assert_cmpuint(gn_token_get_former(&token, 12), ==, 13);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/token/token_follows_the_leader",
			test_token_follows_the_leader);
	g_test_add_func("/token/token_is_raised_once_for_a_life",
			test_token_is_raised_once_for_a_life);
	g_test_add_func("/token/later_epoch_ends_a_raise",
			test_later_epoch_ends_a_raise);
	g_test_add_func("/token/start_with_the_raised_token_is_fenced_off",
			test_start_with_the_raised_token_is_fenced_off);
	g_test_add_func("/token/former_calls_have_a_lower_token",
			test_former_calls_have_a_lower_token);
	return g_test_run();
}
