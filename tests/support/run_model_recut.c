/**
 * @file run_model_recut.c
 * @brief Workers that go dark, start again under their IDs and are cut off soon
 *        after, while long tasks run.
 */
#include "support/run_model_internal.h"

/** Time until the first episode, and from one to the next. */
#define INTERVAL_MIN_MS 500
#define INTERVAL_MAX_MS 3500
#define CALM_INTERVAL_MAX_MS 8000
/** Calls get lost for this time before a worker crashes. */
#define LOSSY_MIN_MS 100
#define LOSSY_MAX_MS 1500
#define LOSSY_CHANCE 0.6
/** Chance that calls get through again for some time before the end, so that
 * claims are released and ends are noted. */
#define PAUSE_CHANCE 0.6
#define PAUSE_MAX_MS 4000
/** Chance that a worker leaves as planned instead. */
#define LEAVE_CHANCE 0.25
/** Nothing reaches a worker or comes from it for this time from its crash. */
#define DARK_MS 600
/** Time from the crash to the start under the same ID. */
#define BOOT_MIN_MS 50
#define BOOT_MAX_MS 2000
/** Time from that start to the cut, and how long this lasts. */
#define CUT_DELAY_MIN_MS 50
#define CUT_DELAY_MAX_MS 2000
#define CUT_MIN_MS 1000
#define CUT_MAX_MS 9000
#define CALM_CUT_MIN_MS 5000
/** Chance that the worker is cut off, not the link of its executor. */
#define CUT_WORKER_CHANCE 0.5
/** Chance that the leader is killed between the start and the cut. */
#define KILL_CHANCE 0.4
/** Chance that the leader hands over between the crash and the start, or between
 * the start and the cut. */
#define HAND_OVER_CHANCE 0.3
/** Jobs that are submitted soon after the start in a calm walk. */
#define SUBMITS 3
/** Chance that a call to a worker in the dark is carried out late. */
#define HELD_CHANCE 0.5

bool rm_recut_is_dark(const run_model_t *model, const rm_worker_t *worker)
{
	return rm_now_us(model) < worker->dark_us;
}

uint64_t rm_recut_draw_fate(run_model_t *model, rm_call_t *call)
{
	const rm_worker_t *worker = &model->workers[call->at];
	uint64_t late_us = rm_now_us(model) +
			   rm_draw_us(model, RM_LATE_MIN_MS, RM_LATE_MAX_MS);

	call->silent = true;
	model->counts->calls_in_dark++;
	if (!rm_draw(model, HELD_CHANCE))
		return 0;
	call->delayed = true;
	model->counts->calls_delayed++;
	return MAX(late_us, worker->dark_us);
}

static void cut(run_model_t *model, void *data)
{
	rm_worker_t *worker = data;

	uint64_t until_us;

	if (!rm_in_faults(model))
		return;
	until_us = rm_faults_draw_end_us(
		model, model->calm ? CALM_CUT_MIN_MS : CUT_MIN_MS, CUT_MAX_MS);
	if (rm_draw(model, CUT_WORKER_CHANCE)) {
		model->counts->worker_recuts++;
		worker->dark_us = until_us;
		rm_log(model, "worker", worker->at, "is cut off", NULL, 0,
		       NULL);
		return;
	}
	model->counts->link_recuts++;
	rm_log(model, "executor", worker->at, "is cut off", NULL, 0, NULL);
	rm_link_cut(model, &model->executors[worker->at], until_us);
}

static void kill_leader(run_model_t *model, void *data)
{
	(void)data;
	if (!rm_in_faults(model))
		return;
	model->counts->leader_kills_before_cuts +=
		model->leader && model->leader->serving;
	rm_faults_end_leader(model);
}

static void hand_over(run_model_t *model, void *data)
{
	(void)data;
	if (rm_in_faults(model))
		rm_faults_hand_over(model);
}

/* Lets the leader hand over before a time in some episodes. */
static void plan_hand_over(run_model_t *model, uint64_t until_us)
{
	uint64_t now_us = rm_now_us(model);

	if (model->options.later_lives && rm_draw(model, HAND_OVER_CHANCE))
		rm_at(model,
		      now_us + rm_draw_us(
				       model, 0,
				       (unsigned)((until_us - now_us) / RM_MS)),
		      hand_over, NULL, NULL);
}

static void boot(run_model_t *model, void *data)
{
	rm_worker_t *worker = data;
	uint64_t now_us = rm_now_us(model);
	uint64_t delay_us =
		rm_draw_us(model, CUT_DELAY_MIN_MS, CUT_DELAY_MAX_MS);

	/* It may have been replaced after a leave. */
	if (worker->up)
		return;
	rm_worker_boot(model, worker, true);
	rm_at(model, now_us + delay_us, cut, worker, NULL);
	plan_hand_over(model, now_us + delay_us);
	for (unsigned i = 0; i < SUBMITS && model->calm; i++)
		rm_jobs_submit_soon(model);
	if (rm_draw(model, KILL_CHANCE))
		rm_at(model,
		      now_us + rm_draw_us(model, 0,
					  (unsigned)(delay_us / RM_MS)),
		      kill_leader, NULL, NULL);
}

static void go_dark(run_model_t *model, void *data)
{
	rm_worker_t *worker = data;
	uint64_t boot_us;

	if (!worker->up || model->executors[worker->at].worker_left ||
	    !rm_in_faults(model))
		return;
	model->counts->dark_restarts++;
	worker->dark_us = rm_now_us(model) + DARK_MS * RM_MS;
	rm_log(model, "worker", worker->at, "goes dark", NULL, 0, NULL);
	boot_us = rm_faults_draw_end_us(model, BOOT_MIN_MS, BOOT_MAX_MS);
	rm_faults_restart_worker(model, worker, boot_us, boot);
	plan_hand_over(model, boot_us);
	rm_faults_extend(model, worker->dark_us + RM_SETTLE_MS * RM_MS);
}

static void leave(run_model_t *model, void *data)
{
	const rm_worker_t *worker = data;

	if (rm_in_faults(model))
		rm_faults_leave(model, worker->at);
}

static void begin(run_model_t *model, void *data)
{
	uint64_t now_us = rm_now_us(model);
	uint64_t lossy_us = rm_draw_us(model, LOSSY_MIN_MS, LOSSY_MAX_MS);
	rm_worker_t *worker =
		&model->workers[g_rand_int_range(model->rand, 0, RM_WORKERS)];

	(void)data;
	if (!rm_in_faults(model))
		return;
	worker->lossy_us = now_us + lossy_us;
	worker->lossy_chance = LOSSY_CHANCE;
	if (model->options.later_lives && rm_draw(model, PAUSE_CHANCE))
		lossy_us += rm_draw_us(model, 0, PAUSE_MAX_MS);
	rm_at(model, now_us + lossy_us,
	      model->options.later_lives && rm_draw(model, LEAVE_CHANCE)
		      ? leave
		      : go_dark,
	      worker, NULL);
	rm_recut_start(model);
}

void rm_recut_start(run_model_t *model)
{
	if (model->options.recut)
		rm_at(model,
		      rm_now_us(model) +
			      rm_draw_us(model, INTERVAL_MIN_MS,
					 model->calm ? CALM_INTERVAL_MAX_MS
						     : INTERVAL_MAX_MS),
		      begin, NULL, NULL);
}
