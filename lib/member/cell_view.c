#include "member/cell_view.h"

#include <assert.h>
#include <string.h>

/**
 * Time after which a worker that no head reports is forgotten, so that a
 * worker is accepted again if its host is replaced by one whose clock is
 * behind. Ten minutes are long enough for a head that was frozen and still
 * reads the heartbeats queued in the meantime.
 */
#define FORGET_AFTER_US (UINT64_C(600) * GN_US_PER_S)

/** State of a head, as received by this entry. */
typedef struct seen_head_s {
	uint64_t incarnation;
	uint64_t applied;
	uint64_t last_summary_us;
} seen_head_t;

/** State of a worker, as reported by the heads. */
typedef struct seen_worker_s {
	gn_cell_status_t status;
	/** Bit set of the ranks of the heads that report the worker as live. */
	uint64_t reporting_heads;
	/** Time at which the last head stopped reporting the worker. */
	uint64_t unreported_since_us;
} seen_worker_t;

/** State of a cell; arrays indexed by rank. */
typedef struct seen_cell_s {
	unsigned size;
	seen_head_t *heads;
	seen_worker_t *workers;
} seen_cell_t;

struct gn_cell_view_s {
	const gn_clock_t *clock;
	gn_cell_times_t times;
	size_t cell_count;
	seen_cell_t *cells;
};

gn_cell_view_t *gn_cell_view_create(TALLOC_CTX *parent, const gn_clock_t *clock,
				    const gn_cell_times_t *times,
				    const unsigned *sizes, size_t cell_count)
{
	gn_cell_view_t *view = talloc_zero(parent, gn_cell_view_t);

	assert(cell_count && cell_count <= GN_CELLS_MAX);
	if (!view)
		return NULL;
	view->clock = clock;
	view->times = *times;
	view->cell_count = cell_count;
	view->cells = talloc_zero_array(view, seen_cell_t, cell_count);
	if (!view->cells)
		goto fail;
	for (size_t i = 0; i < cell_count; i++) {
		seen_cell_t *cell = &view->cells[i];

		assert(sizes[i] && sizes[i] <= GN_CELL_SIZE_MAX);
		cell->size = sizes[i];
		cell->heads =
			talloc_zero_array(view->cells, seen_head_t, cell->size);
		cell->workers = talloc_zero_array(view->cells, seen_worker_t,
						  cell->size);
		if (!cell->heads || !cell->workers)
			goto fail;
	}
	return view;

fail:
	talloc_free(view);
	return NULL;
}

static uint64_t head_bit(unsigned head)
{
	return UINT64_C(1) << head;
}

static void withdraw_report(seen_worker_t *worker, unsigned head,
			    uint64_t now_us)
{
	if (!(worker->reporting_heads & head_bit(head)))
		return;
	worker->reporting_heads &= ~head_bit(head);
	if (!worker->reporting_heads)
		worker->unreported_since_us = now_us;
}

static void withdraw_head(seen_cell_t *cell, unsigned head, uint64_t now_us)
{
	for (unsigned i = 0; i < cell->size; i++)
		withdraw_report(&cell->workers[i], head, now_us);
}

static bool is_newer(const gn_cell_status_t *status,
		     const gn_cell_status_t *known)
{
	if (status->incarnation != known->incarnation)
		return status->incarnation > known->incarnation;
	return status->version > known->version;
}

static void apply_status(seen_worker_t *worker, const gn_cell_status_t *status,
			 unsigned head, uint64_t now_us)
{
	if (status->is_gone ||
	    status->incarnation < worker->status.incarnation) {
		withdraw_report(worker, head, now_us);
		return;
	}
	if (status->incarnation > worker->status.incarnation)
		worker->reporting_heads = 0;
	if (is_newer(status, &worker->status))
		worker->status = *status;
	worker->reporting_heads |= head_bit(head);
}

static bool is_in_range(const gn_cell_view_t *view,
			const gn_cell_summary_t *summary)
{
	unsigned size;

	if (summary->cell >= view->cell_count)
		return false;
	size = view->cells[summary->cell].size;
	if (summary->head_rank >= size || summary->count > size)
		return false;
	for (unsigned i = 0; i < summary->count; i++)
		if (summary->statuses[i].rank >= size)
			return false;
	return true;
}

/**
 * Checks whether a summary can be applied, after replacing the state of an
 * earlier incarnation of its sender.
 */
static gn_code_t check_sequence(seen_cell_t *cell,
				const gn_cell_summary_t *summary)
{
	seen_head_t *head = &cell->heads[summary->head_rank];

	if (summary->head_incarnation < head->incarnation)
		return GN_ERR_STALE;
	if (summary->head_incarnation > head->incarnation) {
		head->incarnation = summary->head_incarnation;
		head->applied = 0;
	}
	if (summary->sequence <= head->applied)
		return GN_ERR_STALE;
	if (summary->base_sequence > head->applied)
		return GN_ERR_CONFLICT;
	return GN_OK;
}

gn_code_t gn_cell_view_apply(gn_cell_view_t *view,
			     const gn_cell_summary_t *summary,
			     gn_cell_ack_t *ack)
{
	uint64_t now_us = gn_clock_now_us(view->clock);
	seen_cell_t *cell;
	seen_head_t *head;
	gn_code_t code;

	ack->head_incarnation = summary->head_incarnation;
	ack->applied_sequence = 0;
	if (!is_in_range(view, summary))
		return GN_ERR_RANGE;
	cell = &view->cells[summary->cell];
	head = &cell->heads[summary->head_rank];
	code = check_sequence(cell, summary);
	if (code == GN_OK) {
		if (!summary->base_sequence)
			withdraw_head(cell, summary->head_rank, now_us);
		for (unsigned i = 0; i < summary->count; i++)
			apply_status(&cell->workers[summary->statuses[i].rank],
				     &summary->statuses[i], summary->head_rank,
				     now_us);
		head->applied = summary->sequence;
		head->last_summary_us = now_us;
	}
	if (summary->head_incarnation == head->incarnation)
		ack->applied_sequence = head->applied;
	return code;
}

static void forget_expired(seen_worker_t *worker, uint64_t now_us)
{
	if (worker->reporting_heads ||
	    now_us - worker->unreported_since_us < FORGET_AFTER_US)
		return;
	memset(&worker->status, 0, sizeof(worker->status));
}

void gn_cell_view_expire(gn_cell_view_t *view)
{
	uint64_t now_us = gn_clock_now_us(view->clock);

	for (size_t i = 0; i < view->cell_count; i++) {
		seen_cell_t *cell = &view->cells[i];

		for (unsigned j = 0; j < cell->size; j++) {
			seen_head_t *head = &cell->heads[j];
			uint64_t silent_us = now_us - head->last_summary_us;

			if (head->applied &&
			    silent_us >= view->times.timeout_us) {
				withdraw_head(cell, j, now_us);
				head->applied = 0;
			}
			if (silent_us >= FORGET_AFTER_US)
				head->incarnation = 0;
			forget_expired(&cell->workers[j], now_us);
		}
	}
}

bool gn_cell_view_get_worker(const gn_cell_view_t *view, uint32_t cell,
			     unsigned rank, gn_cell_status_t *status)
{
	const seen_worker_t *worker;

	assert(cell < view->cell_count && rank < view->cells[cell].size);
	worker = &view->cells[cell].workers[rank];
	*status = worker->status;
	status->rank = rank;
	status->is_gone = !worker->reporting_heads;
	return worker->reporting_heads != 0;
}

size_t gn_cell_view_live_count(const gn_cell_view_t *view)
{
	size_t live = 0;

	for (size_t i = 0; i < view->cell_count; i++)
		for (unsigned j = 0; j < view->cells[i].size; j++)
			live += view->cells[i].workers[j].reporting_heads != 0;
	return live;
}
