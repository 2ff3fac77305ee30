/**
 * @file announce.c
 * @brief Lives that heartbeats announce, until the worker confirms them.
 *
 * A heartbeat proves nothing: it may have been delayed, or come from another
 * writer. Only the process at the worker's address says which life is there.
 * Until it does, the life before goes on, if there is one.
 */
#include <stdlib.h>
#include <string.h>

#include "common/event.h"
#include "executor/attempt.h"
#include "executor/executor_internal.h"
#include "executor/notice.h"

/** Delay before the worker is asked again. */
#define RETRY_DELAY_US (25 * GN_US_PER_MS)
/** An announced life is given up this long after its last heartbeat. */
#define EXPIRY_US (5000 * GN_US_PER_MS)

/** A call in progress that asks which life is there. */
typedef struct question_s {
	executor_t *executor;
	char id[GN_NAME_MAX + 1];
	uint64_t started_ms;
} question_t;

static gn_life_t get_life(const question_t *question)
{
	return (gn_life_t){ question->id, question->started_ms };
}

static void clear_announced(executor_announced_t *announced)
{
	talloc_free(announced->notice.labels);
	announced->notice.labels = NULL;
	announced->known = false;
	announced->tries = 0;
}

static void refuse_announced(executor_t *executor, const char *why)
{
	const gn_worker_notice_t *notice = &executor->announced.notice;

	gn_counter_inc(executor->refused_heartbeats);
	gn_event("heartbeat refused", "{s:s, s:s, s:s, s:I, s:s, s:I}", "peer",
		 notice->life, "why", why, "address", notice->address,
		 "born_ms", (json_int_t)notice->life_started_ms, "life",
		 executor->notice.life, "life_born_ms",
		 (json_int_t)executor->notice.life_started_ms);
	clear_announced(&executor->announced);
}

static void begin_announced(executor_t *executor)
{
	gn_worker_notice_t notice = executor->announced.notice;

	/* Its labels pass to the worker. */
	executor->announced.notice.labels = NULL;
	clear_announced(&executor->announced);
	executor_begin_life(executor, &notice);
}

/*
 * Whether the addressed process is there. One that refuses the fencing token is,
 * too: another process of this executor had a later one, and the leader gives
 * it again once it knows the life. Where a life would be ended by that, a list
 * is waited for.
 */
static bool is_present(const executor_t *executor,
		       const gn_worker_answer_t *answer)
{
	return answer->outcome == GN_WORKER_OK ||
	       (answer->outcome == GN_WORKER_FENCED && !executor->worker_known);
}

static bool is_announced(const question_t *question,
			 const executor_announced_t *announced)
{
	return announced->known &&
	       gn_life_equals(get_life(question),
			      gn_notice_get_life(&announced->notice));
}

static void handle_answer(const question_t *question,
			  const gn_worker_answer_t *answer)
{
	executor_t *executor = question->executor;
	bool is_same_life = gn_life_matches(
		executor_get_answering_life(question->id, answer),
		get_life(question));

	if (answer->outcome == GN_WORKER_LIFE_ENDED)
		refuse_announced(
			executor,
			"another life answers at the worker's address");
	else if (!is_same_life)
		refuse_announced(
			executor,
			"the worker says that it started at another time");
	else if (is_present(executor, answer))
		begin_announced(executor);
}

static void on_answer(void *arg, const gn_http_call_t *http)
{
	question_t *question = arg;
	executor_t *executor = question->executor;
	TALLOC_CTX *scratch = talloc_new(executor);
	gn_worker_answer_t answer;

	executor->announced.pending = false;
	executor->announced.due_us = executor_now_us(executor) + RETRY_DELAY_US;
	executor->adapter->read_worker_answer(scratch, GN_WORKER_LIST, http,
					      &answer);
	if (is_announced(question, &executor->announced))
		handle_answer(question, &answer);
	else
		executor->announced.due_us = 0;
	talloc_free(scratch);
	g_free(question);
}

static void ask_worker(executor_t *executor)
{
	executor_announced_t *announced = &executor->announced;
	question_t *question = g_new0(question_t, 1);
	gn_worker_call_t call = { .kind = GN_WORKER_LIST };

	question->executor = executor;
	g_strlcpy(question->id, announced->notice.life, sizeof(question->id));
	question->started_ms = announced->notice.life_started_ms;
	call.life = question->id;
	if (executor->worker_known &&
	    gn_life_compare(executor_get_life(executor), get_life(question)) ==
		    GN_LIFE_FORMER)
		executor_fence_next_life(executor, "a heartbeat announces it");
	announced->pending = executor_call_worker(
		executor, &call, gn_attempt_timeout_ms(++announced->tries),
		on_answer, question);
	if (!announced->pending)
		g_free(question);
}

void executor_announce(executor_t *executor, const gn_worker_notice_t *notice)
{
	executor_announced_t *announced = &executor->announced;

	talloc_free(announced->notice.labels);
	announced->notice = *notice;
	announced->known = true;
	announced->heard_us = executor_now_us(executor);
	if (!announced->pending)
		ask_worker(executor);
}

void executor_announce_tick(executor_t *executor)
{
	executor_announced_t *announced = &executor->announced;
	uint64_t now_us = executor_now_us(executor);

	if (!announced->known || announced->pending)
		return;
	if (now_us - announced->heard_us >= EXPIRY_US)
		refuse_announced(executor, "no worker confirms it");
	else if (now_us >= announced->due_us)
		ask_worker(executor);
}
