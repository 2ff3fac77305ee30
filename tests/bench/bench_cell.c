/**
 * @file bench_cell.c
 * @brief Measures bytes and processor time of cells, by role and size.
 *
 * The decision modules and the message encoder run in one thread; nothing is
 * sent. Bytes are those of the encoded envelopes with their ZMTP frame header
 * and, for each exchange, the headers of three segments, the number that
 * bench_wire_link measures. Fields that the messages do not declare yet are
 * encoded as unknown fields.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "gypsumnotch.h"
#include "member/cell_view.h"
#include "wire/gypsumnotch.pb-c.h"

#define SEED 1
#define ENTRIES 3
#define ROUNDS 240
#define WARM_UP_ROUNDS 8
#define NS_PER_S 1000000000ULL
#define MESSAGE_MAX 64
#define SUMMARY_MAX 4096
#define FRAME_SMALL 2
#define FRAME_LARGE 9
#define FRAME_SMALL_MAX 255
/** Header bytes of the segments of an exchange. */
#define EXCHANGE_HEADERS (3 * 66)
/** Numbers of the fields that the messages do not declare yet. */
#define LINE_INCARNATION 3
#define LINE_VERSION 4
#define LINE_GONE 5
#define SUMMARY_HEAD 6
#define SUMMARY_BASE 7
#define LINE_FIELDS 3
#define SUMMARY_FIELDS 2
#define VARINT_MAX 10

typedef enum role_e { MEMBER, HEAD, ENTRY, ROLE_COUNT } role_t;

static const char *const role_names[] = { "member", "head", "entry" };

/** An encoded message that waits for its receiver. */
typedef struct encoded_s {
	size_t size;
	uint8_t data[SUMMARY_MAX];
} encoded_t;

typedef struct fleet_s {
	gn_clock_t clock;
	gn_cell_times_t times;
	GRand *rand;
	unsigned cells;
	unsigned size; /**< workers per cell */
	bool is_busy;
	gn_cell_agent_t **agents;
	gn_cell_head_t **heads;
	gn_cell_view_t *views[ENTRIES];
	gn_cell_load_t *loads;
	encoded_t *beats;
	encoded_t *acks;
	encoded_t *summaries;
	encoded_t *summary_acks;
	bool is_measuring;
	uint64_t lines;
	uint64_t sent;
	uint64_t bytes[ROLE_COUNT]; /**< sum over all nodes of a role */
	uint64_t cpu_ns[ROLE_COUNT];
} fleet_t;

static uint64_t cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (uint64_t)now.tv_sec * NS_PER_S + (uint64_t)now.tv_nsec;
}

static size_t get_framed_size(size_t size)
{
	return size + (size > FRAME_SMALL_MAX ? FRAME_LARGE : FRAME_SMALL);
}

/** Appends an unknown varint field to a message; @p data holds its bytes. */
static void add_field(ProtobufCMessage *message,
		      ProtobufCMessageUnknownField *field, uint8_t *data,
		      uint32_t tag, uint64_t value)
{
	size_t len = 0;

	for (; value > 0x7f; value >>= 7)
		data[len++] = (uint8_t)(value | 0x80);
	data[len++] = (uint8_t)value;
	field->tag = tag;
	field->wire_type = PROTOBUF_C_WIRE_TYPE_VARINT;
	field->len = len;
	field->data = data;
	message->n_unknown_fields++;
}

static uint64_t read_field(const ProtobufCMessage *message, unsigned i)
{
	uint64_t value = 0;

	for (size_t j = message->unknown_fields[i].len; j > 0; j--)
		value = value << 7 |
			(message->unknown_fields[i].data[j - 1] & 0x7f);
	return value;
}

static void envelope_init(Gn__Envelope *e, Gn__Envelope__BodyCase body_case)
{
	gn__envelope__init(e);
	e->version = GN_WIRE_VERSION;
	e->incarnation = 0x1122334455667788;
	e->session = 0x2233445566778899;
	e->body_case = body_case;
}

static void load_pack(Gn__Load *to, const gn_cell_load_t *from)
{
	gn__load__init(to);
	to->running_requests = from->running_requests;
	to->running_tasks = from->running_tasks;
	to->service_time_us = from->service_time_us;
	to->tail_time_us = from->tail_time_us;
	to->draining = from->is_draining;
	to->backend_up = from->is_backend_up;
}

static void load_unpack(gn_cell_load_t *to, const Gn__Load *from)
{
	to->running_requests = from->running_requests;
	to->running_tasks = from->running_tasks;
	to->service_time_us = from->service_time_us;
	to->tail_time_us = from->tail_time_us;
	to->is_draining = from->draining;
	to->is_backend_up = from->backend_up;
}

static void beat_pack(encoded_t *out, const gn_cell_heartbeat_t *beat)
{
	ProtobufCMessageUnknownField field;
	uint8_t data[VARINT_MAX];
	Gn__Envelope e;
	Gn__Beat message = GN__BEAT__INIT;
	Gn__Load load;

	load_pack(&load, &beat->status.load);
	message.sequence = beat->sequence;
	message.load = &load;
	message.base.unknown_fields = &field;
	add_field(&message.base, &field, data, LINE_VERSION,
		  beat->status.version);
	envelope_init(&e, GN__ENVELOPE__BODY_BEAT);
	e.beat = &message;
	out->size = gn__envelope__pack(&e, out->data);
}

static void beat_unpack(const encoded_t *in, unsigned rank,
			gn_cell_heartbeat_t *beat)
{
	Gn__Envelope *e = gn__envelope__unpack(NULL, in->size, in->data);

	g_assert_nonnull(e);
	beat->sequence = e->beat->sequence;
	load_unpack(&beat->status.load, e->beat->load);
	beat->status.rank = rank;
	beat->status.incarnation = 1;
	beat->status.version = read_field(&e->beat->base, 0);
	beat->status.is_gone = false;
	gn__envelope__free_unpacked(e, NULL);
}

static void ack_pack(encoded_t *out, uint64_t sequence)
{
	Gn__Envelope e;
	Gn__BeatAck message = GN__BEAT_ACK__INIT;

	message.sequence = sequence;
	envelope_init(&e, GN__ENVELOPE__BODY_BEAT_ACK);
	e.beat_ack = &message;
	out->size = gn__envelope__pack(&e, out->data);
}

static uint64_t ack_unpack(const encoded_t *in)
{
	Gn__Envelope *e = gn__envelope__unpack(NULL, in->size, in->data);
	uint64_t sequence;

	g_assert_nonnull(e);
	sequence = e->beat_ack->sequence;
	gn__envelope__free_unpacked(e, NULL);
	return sequence;
}

static void summary_pack(encoded_t *out, const gn_cell_summary_t *summary)
{
	static Gn__WorkerLine lines[GN_CELL_SIZE_MAX];
	static Gn__Load loads[GN_CELL_SIZE_MAX];
	static Gn__WorkerLine *pointers[GN_CELL_SIZE_MAX];
	static ProtobufCMessageUnknownField fields[GN_CELL_SIZE_MAX]
						  [LINE_FIELDS];
	static uint8_t data[GN_CELL_SIZE_MAX][LINE_FIELDS][VARINT_MAX];
	ProtobufCMessageUnknownField summary_fields[SUMMARY_FIELDS];
	uint8_t summary_data[SUMMARY_FIELDS][VARINT_MAX];
	Gn__Envelope e;
	Gn__CellSummary message = GN__CELL_SUMMARY__INIT;

	for (unsigned i = 0; i < summary->count; i++) {
		const gn_cell_status_t *from = &summary->statuses[i];
		ProtobufCMessage *base = &lines[i].base;

		gn__worker_line__init(&lines[i]);
		load_pack(&loads[i], &from->load);
		lines[i].index = from->rank;
		lines[i].load = &loads[i];
		base->unknown_fields = fields[i];
		add_field(base, &fields[i][0], data[i][0], LINE_INCARNATION,
			  UINT64_C(1) << 50);
		add_field(base, &fields[i][1], data[i][1], LINE_VERSION,
			  from->version);
		if (from->is_gone)
			add_field(base, &fields[i][2], data[i][2], LINE_GONE,
				  1);
		pointers[i] = &lines[i];
	}
	message.cell = summary->cell;
	message.sequence = summary->sequence;
	message.n_changed = summary->count;
	message.changed = pointers;
	message.base.unknown_fields = summary_fields;
	add_field(&message.base, &summary_fields[0], summary_data[0],
		  SUMMARY_HEAD, summary->head_rank);
	add_field(&message.base, &summary_fields[1], summary_data[1],
		  SUMMARY_BASE, summary->base_sequence);
	envelope_init(&e, GN__ENVELOPE__BODY_CELL_SUMMARY);
	e.cell_summary = &message;
	g_assert_cmpuint(gn__envelope__get_packed_size(&e), <=, SUMMARY_MAX);
	out->size = gn__envelope__pack(&e, out->data);
}

static void summary_unpack(const encoded_t *in, gn_cell_summary_t *summary)
{
	Gn__Envelope *e = gn__envelope__unpack(NULL, in->size, in->data);
	const Gn__CellSummary *message;

	g_assert_nonnull(e);
	message = e->cell_summary;
	g_assert_cmpuint(message->n_changed, <=, GN_CELL_SIZE_MAX);
	summary->cell = message->cell;
	summary->sequence = message->sequence;
	summary->head_rank = (unsigned)read_field(&message->base, 0);
	summary->base_sequence = read_field(&message->base, 1);
	summary->head_incarnation = 1;
	summary->count = (unsigned)message->n_changed;
	for (unsigned i = 0; i < summary->count; i++) {
		const Gn__WorkerLine *from = message->changed[i];
		gn_cell_status_t *to = &summary->statuses[i];

		to->rank = from->index;
		to->incarnation = read_field(&from->base, 0);
		to->version = read_field(&from->base, 1);
		to->is_gone = from->base.n_unknown_fields > 2;
		load_unpack(&to->load, from->load);
	}
	gn__envelope__free_unpacked(e, NULL);
}

static void add_bytes(fleet_t *fleet, role_t sender, role_t receiver,
		      size_t size)
{
	if (!fleet->is_measuring)
		return;
	fleet->bytes[sender] += size;
	fleet->bytes[receiver] += size;
}

static void add_cpu_time(fleet_t *fleet, role_t role, uint64_t start_ns)
{
	if (fleet->is_measuring)
		fleet->cpu_ns[role] += cpu_ns() - start_ns;
}

/**
 * Changes the running requests by at most two per second and draws a tail
 * latency of 50 ms +- 20%.
 */
static void change_load(fleet_t *fleet, gn_cell_load_t *load)
{
	int seconds = (int)(fleet->times.interval_us / GN_US_PER_S);
	int step = 2 * MAX(seconds, 1);
	int requests = (int)load->running_requests +
		       g_rand_int_range(fleet->rand, -step, step + 1);

	load->running_requests = (uint32_t)CLAMP(requests, 0, 64);
	load->tail_time_us =
		(uint32_t)g_rand_int_range(fleet->rand, 40000, 60001);
}

static void run_members(fleet_t *fleet)
{
	unsigned count = fleet->cells * fleet->size;
	uint64_t start_ns;

	if (fleet->is_busy)
		for (unsigned i = 0; i < count; i++)
			change_load(fleet, &fleet->loads[i]);
	start_ns = cpu_ns();
	for (unsigned i = 0; i < count; i++) {
		gn_cell_heartbeat_t beat;

		gn_cell_agent_update_load(fleet->agents[i], &fleet->loads[i]);
		gn_cell_agent_tick(fleet->agents[i]);
		gn_cell_agent_make_heartbeat(fleet->agents[i], &beat);
		beat_pack(&fleet->beats[i], &beat);
	}
	add_cpu_time(fleet, MEMBER, start_ns);
}

static void run_heads(fleet_t *fleet)
{
	unsigned count = fleet->cells * fleet->size;
	uint64_t start_ns = cpu_ns();

	for (unsigned i = 0; i < count; i++) {
		gn_cell_heartbeat_t beat;

		beat_unpack(&fleet->beats[i], i % fleet->size, &beat);
		gn_cell_head_on_heartbeat(fleet->heads[i / fleet->size], &beat);
		ack_pack(&fleet->acks[i], beat.sequence);
	}
	for (unsigned i = 0; i < fleet->cells; i++) {
		gn_cell_head_start_round(fleet->heads[i]);
		for (unsigned j = 0; j < ENTRIES; j++) {
			encoded_t *out = &fleet->summaries[i * ENTRIES + j];
			gn_cell_summary_t summary;

			out->size = 0;
			if (!gn_cell_head_make_summary(fleet->heads[i], j,
						       &summary))
				continue;
			summary_pack(out, &summary);
			if (fleet->is_measuring)
				fleet->lines += summary.count;
		}
	}
	add_cpu_time(fleet, HEAD, start_ns);
	for (unsigned i = 0; i < count; i++)
		if (i % fleet->size)
			add_bytes(fleet, MEMBER, HEAD,
				  get_framed_size(fleet->beats[i].size) +
					  get_framed_size(fleet->acks[i].size) +
					  EXCHANGE_HEADERS);
}

static void run_entries(fleet_t *fleet)
{
	uint64_t start_ns = cpu_ns();

	for (unsigned i = 0; i < fleet->cells * ENTRIES; i++) {
		gn_cell_summary_t summary;
		gn_cell_ack_t ack;

		if (!fleet->summaries[i].size)
			continue;
		summary_unpack(&fleet->summaries[i], &summary);
		gn_cell_view_apply(fleet->views[i % ENTRIES], &summary, &ack);
		ack_pack(&fleet->summary_acks[i], ack.applied_sequence);
	}
	for (unsigned i = 0; i < ENTRIES; i++)
		gn_cell_view_expire(fleet->views[i]);
	add_cpu_time(fleet, ENTRY, start_ns);
	for (unsigned i = 0; i < fleet->cells * ENTRIES; i++) {
		if (!fleet->summaries[i].size)
			continue;
		fleet->sent += fleet->is_measuring;
		add_bytes(fleet, HEAD, ENTRY,
			  get_framed_size(fleet->summaries[i].size) +
				  get_framed_size(fleet->summary_acks[i].size) +
				  EXCHANGE_HEADERS);
	}
}

static void run_acks(fleet_t *fleet)
{
	unsigned count = fleet->cells * fleet->size;
	uint64_t start_ns = cpu_ns();

	for (unsigned i = 0; i < count; i++) {
		ack_unpack(&fleet->acks[i]);
		gn_cell_agent_on_ack(fleet->agents[i], 0);
	}
	add_cpu_time(fleet, MEMBER, start_ns);
	start_ns = cpu_ns();
	for (unsigned i = 0; i < fleet->cells * ENTRIES; i++) {
		gn_cell_ack_t ack = { .head_incarnation = 1 };

		if (!fleet->summaries[i].size)
			continue;
		ack.applied_sequence = ack_unpack(&fleet->summary_acks[i]);
		gn_cell_head_on_ack(fleet->heads[i / ENTRIES], i % ENTRIES,
				    &ack);
	}
	add_cpu_time(fleet, HEAD, start_ns);
}

static fleet_t *fleet_create(unsigned cells, unsigned size,
			     uint64_t interval_us, bool is_busy)
{
	fleet_t *fleet = talloc_zero(NULL, fleet_t);
	unsigned *sizes = talloc_array(fleet, unsigned, cells);
	unsigned count = cells * size;

	gn_clock_init_paused(&fleet->clock, GN_US_PER_S);
	fleet->times.interval_us = interval_us;
	fleet->times.timeout_us = 4 * interval_us;
	fleet->rand = g_rand_new_with_seed(SEED);
	fleet->cells = cells;
	fleet->size = size;
	fleet->is_busy = is_busy;
	fleet->agents = talloc_array(fleet, gn_cell_agent_t *, count);
	fleet->heads = talloc_array(fleet, gn_cell_head_t *, cells);
	fleet->loads = talloc_zero_array(fleet, gn_cell_load_t, count);
	fleet->beats = talloc_zero_array(fleet, encoded_t, count);
	fleet->acks = talloc_zero_array(fleet, encoded_t, count);
	fleet->summaries = talloc_zero_array(fleet, encoded_t, cells * ENTRIES);
	fleet->summary_acks =
		talloc_zero_array(fleet, encoded_t, cells * ENTRIES);
	for (unsigned i = 0; i < cells; i++) {
		sizes[i] = size;
		fleet->heads[i] = gn_cell_head_create(
			fleet, &fleet->clock, &fleet->times, i, 0, size, 1);
	}
	for (unsigned i = 0; i < count; i++) {
		fleet->loads[i].running_requests = 16;
		fleet->loads[i].running_tasks = 8;
		fleet->loads[i].service_time_us = 12500;
		fleet->loads[i].is_backend_up = true;
		fleet->agents[i] = gn_cell_agent_create(
			fleet, &fleet->clock, &fleet->times, i % size, size, 1);
	}
	for (unsigned i = 0; i < ENTRIES; i++)
		fleet->views[i] = gn_cell_view_create(
			fleet, &fleet->clock, &fleet->times, sizes, cells);
	return fleet;
}

static void print_fleet(const fleet_t *fleet)
{
	double seconds =
		(double)fleet->times.interval_us * ROUNDS / GN_US_PER_S;
	unsigned nodes[ROLE_COUNT] = { fleet->cells * (fleet->size - 1),
				       fleet->cells, ENTRIES };

	printf("cell cells=%u size=%u workers=%u beat_ms=%u load=%s "
	       "lines_a_summary=%.2f view_kb=%.1f",
	       fleet->cells, fleet->size, fleet->cells * fleet->size,
	       (unsigned)(fleet->times.interval_us / GN_US_PER_MS),
	       fleet->is_busy ? "busy" : "idle",
	       (double)fleet->lines / (double)fleet->sent,
	       (double)talloc_total_size(fleet->views[0]) / 1024);
	for (int i = 0; i < ROLE_COUNT; i++)
		printf(" %s_bytes_s=%.0f %s_cpu_us_s=%.1f", role_names[i],
		       (double)fleet->bytes[i] / nodes[i] / seconds,
		       role_names[i],
		       (double)fleet->cpu_ns[i] / 1000 / nodes[i] / seconds);
	printf("\n");
}

static void run_fleet(unsigned cells, unsigned size, unsigned beat_ms,
		      bool is_busy)
{
	fleet_t *fleet = fleet_create(
		cells, size, (uint64_t)beat_ms * GN_US_PER_MS, is_busy);

	for (unsigned i = 0; i < WARM_UP_ROUNDS + ROUNDS; i++) {
		fleet->is_measuring = i >= WARM_UP_ROUNDS;
		gn_clock_advance(&fleet->clock, fleet->times.interval_us);
		run_members(fleet);
		run_heads(fleet);
		run_entries(fleet);
		run_acks(fleet);
	}
	g_assert_cmpuint(gn_cell_view_live_count(fleet->views[0]), ==,
			 (size_t)cells * size);
	print_fleet(fleet);
	g_rand_free(fleet->rand);
	talloc_free(fleet);
}

int main(void)
{
	static const unsigned cells[] = { 3, 11, 27, 100 };
	static const unsigned sizes[] = { 9, 14, 20, 27 };
	static const unsigned beats_ms[] = { 500, 1000, 2000, 4000 };

	for (size_t i = 0; i < G_N_ELEMENTS(cells); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(sizes); j++)
			if (cells[i] * sizes[j] <= 2000)
				run_fleet(cells[i], sizes[j], 2000, true);
	for (size_t i = 0; i < G_N_ELEMENTS(beats_ms); i++) {
		run_fleet(27, 27, beats_ms[i], false);
		run_fleet(27, 27, beats_ms[i], true);
	}
	return 0;
}
