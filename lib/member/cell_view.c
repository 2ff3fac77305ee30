#include "member/cell_view.h"

#include <assert.h>
#include <string.h>

/**
 * A worker without voucher is forgotten after ten minutes, so that a host
 * replaced by one with a clock behind is heard again. The time is long since
 * a head that was frozen still reads the beats that waited for it.
 */
#define FORGET_US (UINT64_C(600) * GN_US_PER_S)

typedef struct seen_head_s {
	uint64_t incarnation;
	uint64_t applied;
	uint64_t heard_us;
} seen_head_t;

typedef struct seen_worker_s {
	gn_cell_line_t line;
	uint64_t vouchers; /**< a bit for each head by rank */
	uint64_t lost_us; /**< when the last voucher went */
} seen_worker_t;

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

static uint64_t bit_of(unsigned head)
{
	return UINT64_C(1) << head;
}

static void withdraw(seen_worker_t *worker, unsigned head, uint64_t now_us)
{
	if (!(worker->vouchers & bit_of(head)))
		return;
	worker->vouchers &= ~bit_of(head);
	if (!worker->vouchers)
		worker->lost_us = now_us;
}

static void withdraw_all(seen_cell_t *cell, unsigned head, uint64_t now_us)
{
	for (unsigned i = 0; i < cell->size; i++)
		withdraw(&cell->workers[i], head, now_us);
}

static bool is_newer(const gn_cell_line_t *line, const gn_cell_line_t *known)
{
	if (line->incarnation != known->incarnation)
		return line->incarnation > known->incarnation;
	return line->version > known->version;
}

static void apply_line(seen_worker_t *worker, const gn_cell_line_t *line,
		       unsigned head, uint64_t now_us)
{
	if (line->is_gone || line->incarnation < worker->line.incarnation) {
		withdraw(worker, head, now_us);
		return;
	}
	if (line->incarnation > worker->line.incarnation)
		worker->vouchers = 0;
	if (is_newer(line, &worker->line))
		worker->line = *line;
	worker->vouchers |= bit_of(head);
}

static bool is_in_range(const gn_cell_view_t *view,
			const gn_cell_summary_t *summary)
{
	unsigned size;

	if (summary->cell >= view->cell_count)
		return false;
	size = view->cells[summary->cell].size;
	if (summary->head >= size || summary->count > size)
		return false;
	for (unsigned i = 0; i < summary->count; i++)
		if (summary->lines[i].rank >= size)
			return false;
	return true;
}

/** Forgets an earlier incarnation of the sender. */
static gn_code_t meet_head(seen_cell_t *cell, const gn_cell_summary_t *summary)
{
	seen_head_t *head = &cell->heads[summary->head];

	if (summary->head_incarnation < head->incarnation)
		return GN_ERR_STALE;
	if (summary->head_incarnation > head->incarnation) {
		head->incarnation = summary->head_incarnation;
		head->applied = 0;
	}
	if (summary->sequence <= head->applied)
		return GN_ERR_STALE;
	if (summary->base > head->applied)
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
	ack->applied = 0;
	if (!is_in_range(view, summary))
		return GN_ERR_RANGE;
	cell = &view->cells[summary->cell];
	head = &cell->heads[summary->head];
	code = meet_head(cell, summary);
	if (code == GN_OK) {
		if (!summary->base)
			withdraw_all(cell, summary->head, now_us);
		for (unsigned i = 0; i < summary->count; i++)
			apply_line(&cell->workers[summary->lines[i].rank],
				   &summary->lines[i], summary->head, now_us);
		head->applied = summary->sequence;
		head->heard_us = now_us;
	}
	if (summary->head_incarnation == head->incarnation)
		ack->applied = head->applied;
	return code;
}

static void forget(seen_worker_t *worker, uint64_t now_us)
{
	if (worker->vouchers || now_us - worker->lost_us < FORGET_US)
		return;
	memset(&worker->line, 0, sizeof(worker->line));
}

void gn_cell_view_expire(gn_cell_view_t *view)
{
	uint64_t now_us = gn_clock_now_us(view->clock);

	for (size_t i = 0; i < view->cell_count; i++) {
		seen_cell_t *cell = &view->cells[i];

		for (unsigned j = 0; j < cell->size; j++) {
			seen_head_t *head = &cell->heads[j];
			uint64_t silent_us = now_us - head->heard_us;

			if (head->applied &&
			    silent_us >= view->times.timeout_us) {
				withdraw_all(cell, j, now_us);
				head->applied = 0;
			}
			if (silent_us >= FORGET_US)
				head->incarnation = 0;
			forget(&cell->workers[j], now_us);
		}
	}
}

bool gn_cell_view_worker(const gn_cell_view_t *view, uint32_t cell,
			 unsigned rank, gn_cell_line_t *line)
{
	const seen_worker_t *worker;

	assert(cell < view->cell_count && rank < view->cells[cell].size);
	worker = &view->cells[cell].workers[rank];
	*line = worker->line;
	line->rank = rank;
	line->is_gone = !worker->vouchers;
	return worker->vouchers != 0;
}

size_t gn_cell_view_live(const gn_cell_view_t *view)
{
	size_t live = 0;

	for (size_t i = 0; i < view->cell_count; i++)
		for (unsigned j = 0; j < view->cells[i].size; j++)
			live += view->cells[i].workers[j].vouchers != 0;
	return live;
}
