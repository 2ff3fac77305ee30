/**
 * @file run_model_internal.h
 * @brief Functions shared by the parts of the run model.
 */
#ifndef GN_TESTS_RUN_MODEL_INTERNAL_H
#define GN_TESTS_RUN_MODEL_INTERNAL_H

#include "support/run_model_types.h"

/* ======   run_model.c   ====== */

uint64_t rm_now_us(const run_model_t *model);
/** Whether faults may still begin. */
bool rm_in_faults(const run_model_t *model);
/** Returns a duration between two, in microseconds. */
uint64_t rm_draw_us(run_model_t *model, unsigned min_ms, unsigned max_ms);
bool rm_draw(run_model_t *model, double chance);
/** Calls @p action at @p time_us; @p free_data if the walk ends before. */
void rm_at(run_model_t *model, uint64_t time_us, rm_action_t action, void *data,
	   GDestroyNotify free_data);
/** Records a line of the log. */
void rm_log(run_model_t *model, const char *who, unsigned at, const char *what,
	    const rm_task_t *task, uint32_t attempt, const char *detail);
rm_task_t *rm_find_task(const run_model_t *model, const char *name);

/* ======   run_model_worker.c   ====== */

void rm_worker_boot(run_model_t *model, rm_worker_t *worker, bool same_id);
void rm_worker_crash(run_model_t *model, rm_worker_t *worker);
/** Brings the runs and the lease up to date, and sends heartbeats. */
void rm_worker_tick(run_model_t *model, rm_worker_t *worker);
/** Carries out a call; answers it unless it waits. */
void rm_worker_handle(run_model_t *model, rm_worker_t *worker, rm_call_t *call);

/* ======   run_model_runs.c   ====== */

/** Reads the clock of the worker. */
uint64_t rm_worker_clock_ms(const run_model_t *model,
			    const rm_worker_t *worker);
/** Brings the runs and the lease of a worker up to date. */
void rm_worker_settle(run_model_t *model, rm_worker_t *worker);
/** Brings the runs and leases of all workers up to date. */
void rm_workers_settle(run_model_t *model);
/** Returns the longest lease that workers grant. */
unsigned rm_hold_max_ms(const run_model_t *model);
void rm_worker_extend_lease(run_model_t *model, rm_worker_t *worker,
			    uint64_t until_ms);
uint32_t rm_worker_used_milli(const rm_worker_t *worker);
gn_worker_call_outcome_t rm_worker_start(run_model_t *model,
					 rm_worker_t *worker, rm_task_t *task,
					 const rm_call_t *call);
/** Whether the call was sent to an earlier process of the worker. */
bool rm_is_for_former_life(const rm_worker_t *worker, const rm_call_t *call);
/** Records that the leader may know that this attempt is over. */
void rm_worker_note_over(rm_worker_t *worker, rm_task_t *task,
			 uint32_t attempt);
gn_worker_call_outcome_t rm_worker_stop(run_model_t *model, rm_worker_t *worker,
					rm_task_t *task, uint32_t attempt);

/* ======   run_model_calls.c   ====== */

/** Sends a call; frees @p order if the executor doesn't live to its answer. */
void rm_call_send(rm_executor_t *executor, const gn_worker_call_t *call,
		  unsigned timeout_ms, gn_order_call_t *order, unsigned list);
/** Sends the answer of a call that was carried out. */
void rm_call_answer(run_model_t *model, rm_call_t *call);
void rm_call_unref(gpointer call);
/** Lets some of the calls for former lives that may still take effect reach the
 * life that begins. */
void rm_calls_reach_life(run_model_t *model, rm_worker_t *worker);

/* ======   run_model_executor.c   ====== */

bool rm_executor_has_unstored_ends(const rm_executor_t *executor);
void rm_executor_start(run_model_t *model, rm_executor_t *executor);
void rm_executor_stop(run_model_t *model, rm_executor_t *executor);
/** Ends the process, and starts it again at @p start_us. */
void rm_executor_restart(run_model_t *model, rm_executor_t *executor,
			 uint64_t start_us);
void rm_executor_tick(run_model_t *model, rm_executor_t *executor);
/** The worker deregisters. */
void rm_executor_on_leave(rm_executor_t *executor);
void rm_executor_on_heartbeat(rm_executor_t *executor, const char *life,
			      uint64_t born_ms, uint64_t heartbeat);
void rm_executor_on_list(rm_executor_t *executor, rm_call_t *call);
/** Voids an answer of another life than the known one. */
void rm_executor_read_answer(const rm_executor_t *executor,
			     gn_worker_answer_t *answer);
void rm_executor_record_clock(rm_executor_t *executor,
			      const gn_worker_answer_t *answer);
/** Whether the process is up but doesn't act now. */
bool rm_executor_is_frozen(const rm_executor_t *executor);
/** Requests the lists that are due. */
void rm_executor_tick_list(rm_executor_t *executor);

/* ======   run_model_reports.c   ====== */

void rm_executor_report(rm_executor_t *executor);
void rm_executor_on_orders(rm_executor_t *executor,
			   const Gn__WorkerOrders *message);
/** Finds the leader if it doesn't answer, and sends reports that are due. */
void rm_executor_tick_leader(rm_executor_t *executor);

/* ======   run_model_link.c   ====== */

void rm_link_connect(rm_executor_t *executor, uint64_t target);
/** Returns false if the report certainly wasn't sent. */
bool rm_link_send_report(rm_executor_t *executor,
			 const Gn__WorkerReport *report);
void rm_link_send_orders(rm_leader_t *leader, unsigned at,
			 const Gn__WorkerOrders *message);
/** Cuts the link of an executor. */
void rm_link_cut(run_model_t *model, rm_executor_t *executor,
		 uint64_t until_us);

/* ======   run_model_leader.c   ====== */

rm_leader_t *rm_leader_find(run_model_t *model, uint64_t epoch);
/** Elects a leader that serves after @p load_us. */
void rm_leader_elect(run_model_t *model, uint64_t load_us);
void rm_leader_end(rm_leader_t *leader);
void rm_leader_tick(rm_leader_t *leader);
void rm_leader_run_pass(rm_leader_t *leader);
void rm_leader_on_report(rm_leader_t *leader, uint64_t connection,
			 const Gn__WorkerReport *report);

/* ======   run_model_store.c   ====== */

/** Sends the next write batch if there is one and none is in flight. */
void rm_store_send_next(rm_leader_t *leader);
/** Decides whether the batch in flight of an ended leadership is stored. */
void rm_store_end_batch(rm_leader_t *leader);
/** Loads all stored jobs. */
void rm_store_load(rm_leader_t *leader);

/* ======   run_model_jobs.c   ====== */

void rm_jobs_create(run_model_t *model);
/** Lets a job be submitted soon that is due later. */
void rm_jobs_submit_soon(run_model_t *model);
/** Submits and cancels the jobs that are due. */
void rm_jobs_tick(run_model_t *model, void *data);

/* ======   run_model_faults.c   ====== */

/** Begins a fault at the machine @p data and schedules the next. */
void rm_faults_next(run_model_t *model, void *data);
/** Changes the capacity of the worker @p data, again and again. */
void rm_faults_shrink(run_model_t *model, void *data);
/** Lets the task crash the worker's process after the time that it takes for
 * that; the process starts again. */
void rm_faults_crash_worker(run_model_t *model, const rm_worker_t *worker,
			    rm_task_t *task);
/** Returns the end of a fault that begins now and lasts at most until the last
 * fault ends. */
uint64_t rm_faults_draw_end_us(run_model_t *model, unsigned min_ms,
			       unsigned max_ms);
/** Crashes a worker that is up, and calls @p boot with it at @p boot_us. */
void rm_faults_restart_worker(run_model_t *model, rm_worker_t *worker,
			      uint64_t boot_us, rm_action_t boot);
/** Ends the leader if one serves; another one is elected. */
void rm_faults_end_leader(run_model_t *model);
/** A worker leaves and ends, its machine is stopped, and another one comes, or
 * the same one returns. */
void rm_faults_leave(run_model_t *model, unsigned at);
/** Stops the leader's process as planned if it serves; another one is elected
 * once it has resigned. */
void rm_faults_hand_over(run_model_t *model);
/** Records that a fault lasts until @p until_us. */
void rm_faults_extend(run_model_t *model, uint64_t until_us);

/* ======   run_model_evacuation.c   ====== */

/** Begins the requests at the data centre of a worker. */
void rm_evacuations_start(run_model_t *model, rm_worker_t *worker);
/** Gives a leader its view of the evacuations, which it has yet to read. */
void rm_evacuations_open(rm_leader_t *leader);
/** Lets the leader read the requests and confirms them when that is due. */
void rm_evacuations_tick(rm_leader_t *leader);
/** Records whether the executor is in touch now; to be called often. */
void rm_evacuations_note_touch(run_model_t *model,
			       const rm_executor_t *executor);
/**
 * Checks a start against the bound of evacuations.
 * @param late by a call that took effect late
 */
void rm_check_evacuated_start(run_model_t *model, const rm_worker_t *worker,
			      const rm_task_t *task, bool late);

/* ======   run_model_recut.c   ====== */

/** Begins the restarts under the same ID that are followed by cuts. */
void rm_recut_start(run_model_t *model);
/** Whether nothing reaches the worker or comes from it now. */
bool rm_recut_is_dark(const run_model_t *model, const rm_worker_t *worker);
/** Returns when a call to a worker in the dark arrives; 0 if never. */
uint64_t rm_recut_draw_fate(run_model_t *model, rm_call_t *call);

/* ======   run_model_check.c   ====== */

void rm_violate(run_model_t *model, const rm_task_t *task, const char *text);
/** Checks a start before the run is added. */
void rm_check_start(run_model_t *model, rm_worker_t *worker, rm_task_t *task);
/** Checks an end that the worker is told to forget. */
void rm_check_noted(run_model_t *model, const rm_worker_t *worker,
		    const rm_end_t *end);
/** Checks that no claim of the life that left is stored. */
void rm_check_leave(run_model_t *model, const rm_executor_t *executor);
/** Checks runs without a claim. */
void rm_check_tick(run_model_t *model, void *data);
/** Whether all jobs that can finish have finished, and none of their tasks
 * runs. */
bool rm_check_is_settled(const run_model_t *model);
/** Checks that all is done that has to be. */
void rm_check_end(run_model_t *model);
/** Prints the violation with the last events of its task. */
void rm_check_print(const run_model_t *model);

#endif
