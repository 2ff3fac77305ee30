#include "config/toml.h"

#include <algorithm>
#include <cpptoml.h>
#include <sstream>

/** Converts to the opaque type of the C interface. */
static const gn_toml_table_t *wrap(const cpptoml::table *table)
{
	return reinterpret_cast<const gn_toml_table_t *>(table);
}

static const cpptoml::table *unwrap(const gn_toml_table_t *table)
{
	return reinterpret_cast<const cpptoml::table *>(table);
}

struct gn_toml_s {
	std::shared_ptr<cpptoml::table> *root;
};

static int free_document(gn_toml_t *document)
{
	delete document->root;
	return 0;
}

static const char *const kind_names[GN_TOML_KIND_COUNT] = {
	"nothing", "a string", "an integer", "a float",
	"a boolean", "a time", "an array", "a table",
	"an array of tables",
};

const char *gn_toml_kind_name(gn_toml_kind_t kind)
{
	return kind_names[kind];
}

static gn_code_t set_message(char *message, gn_code_t code, const char *text)
{
	snprintf(message, GN_TOML_MESSAGE_SIZE, "%s", text);
	return code;
}

/**
 * Whether @p line is a table header "[a]" or "[[a]]", optionally with
 * a comment.
 */
static bool is_header(const std::string &line)
{
	static const char blanks[] = " \t\r";
	static const char names[] = "abcdefghijklmnopqrstuvwxyz"
				    "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				    "0123456789_-. ";
	size_t begin = line.find_first_not_of(blanks);
	size_t name = line.find_first_not_of('[', begin);
	size_t close;
	size_t rest;

	if (name == std::string::npos || name == begin || name - begin > 2)
		return false;
	close = line.find_first_not_of(names, name);
	if (close == std::string::npos ||
	    line.compare(close, name - begin, std::string(name - begin, ']')))
		return false;
	rest = line.find_first_not_of(blanks, close + (name - begin));
	return rest == std::string::npos || line[rest] == '#';
}

/** Returns the first byte of @p line that is not a blank, or 0. */
static char first_byte(const std::string &line)
{
	size_t at = line.find_first_not_of(" \t\r");

	return at == std::string::npos ? '\0' : line[at];
}

/**
 * Counts the opening brackets in @p line. Those of comments and table headers
 * don't count, since they don't nest.
 */
static size_t count_brackets(const std::string &line)
{
	if (first_byte(line) == '#' || is_header(line))
		return 0;
	return (size_t)std::count(line.begin(), line.end(), '[');
}

static bool has_inline_table(const std::string &line)
{
	return first_byte(line) != '#' && line.find('{') != std::string::npos;
}

/**
 * Rejects deeply nested input, which would overflow the stack: the parser
 * recurses on brackets, and the destructors of its tables on dotted keys, which
 * inline tables could nest without limit.
 */
static gn_code_t check_bounds(const std::string &text, char *message)
{
	std::istringstream in(text);
	std::string line;
	size_t number = 0;
	size_t brackets = 0;

	while (std::getline(in, line)) {
		number++;
		brackets += count_brackets(line);
		if (line.size() > GN_TOML_LINE_MAX) {
			snprintf(message, GN_TOML_MESSAGE_SIZE,
				 "line %zu: longer than %d bytes", number,
				 GN_TOML_LINE_MAX);
			return GN_ERR_RANGE;
		}
		if (has_inline_table(line)) {
			snprintf(message, GN_TOML_MESSAGE_SIZE,
				 "line %zu: contains '{', but inline tables "
				 "are not supported",
				 number);
			return GN_ERR_INVALID;
		}
		if (brackets > GN_TOML_BRACKETS_MAX) {
			snprintf(message, GN_TOML_MESSAGE_SIZE,
				 "line %zu: more than %d opening brackets",
				 number, GN_TOML_BRACKETS_MAX);
			return GN_ERR_RANGE;
		}
	}
	return GN_OK;
}

/** Reformats the parser's message "text at line N" as "line N: text". */
static gn_code_t set_parse_error(char *message, const std::string &what)
{
	static const std::string separator = " at line ";
	size_t at = what.rfind(separator);

	if (at == std::string::npos)
		return set_message(message, GN_ERR_INVALID, what.c_str());
	snprintf(message, GN_TOML_MESSAGE_SIZE, "line %s: %.80s",
		 what.c_str() + at + separator.size(),
		 what.substr(0, at).c_str());
	return GN_ERR_INVALID;
}

static gn_code_t parse(gn_str_t text, std::shared_ptr<cpptoml::table> **root,
		       char *message)
{
	try {
		std::string copy(text.data, text.len);
		gn_code_t code = check_bounds(copy, message);

		if (code)
			return code;
		if (copy.find('\0') != std::string::npos)
			return set_message(message, GN_ERR_INVALID,
					   "document contains a zero byte");
		std::istringstream in(copy);
		cpptoml::parser parser(in);

		*root = new std::shared_ptr<cpptoml::table>(parser.parse());
		return GN_OK;
	} catch (const cpptoml::parse_exception &error) {
		return set_parse_error(message, error.what());
	} catch (const std::bad_alloc &) {
		return set_message(message, GN_ERR_MEMORY, "out of memory");
	} catch (const std::exception &error) {
		return set_message(message, GN_ERR_INVALID, error.what());
	}
}

gn_code_t gn_toml_parse(TALLOC_CTX *parent, gn_str_t text,
			gn_toml_t **document, char *message)
{
	gn_toml_t *result;
	gn_code_t code;

	message[0] = '\0';
	if (text.len > GN_TOML_TEXT_MAX)
		return set_message(message, GN_ERR_RANGE,
				   "document is larger than 8388608 bytes");
	result = talloc_zero(parent, gn_toml_t);
	if (!result)
		return set_message(message, GN_ERR_MEMORY, "out of memory");
	code = parse(text, &result->root, message);
	if (code) {
		talloc_free(result);
		return code;
	}
	talloc_set_destructor(result, free_document);
	*document = result;
	return GN_OK;
}

const gn_toml_table_t *gn_toml_root(const gn_toml_t *document)
{
	return wrap(document->root->get());
}

/** Returns the value at @p key, or NULL. */
static const cpptoml::base *find_value(const gn_toml_table_t *table,
				       const char *key)
{
	try {
		if (!table || !unwrap(table)->contains(key))
			return nullptr;
		return unwrap(table)->get(key).get();
	} catch (const std::exception &) {
		return nullptr;
	}
}

/** Returns the value of @p base, or NULL if it has another type. */
template <class T> static const T *value_of(const cpptoml::base *base)
{
	auto typed = dynamic_cast<const cpptoml::value<T> *>(base);

	return typed ? &typed->get() : nullptr;
}

static gn_toml_kind_t kind_of(const cpptoml::base *base)
{
	if (!base)
		return GN_TOML_NONE;
	if (base->is_table())
		return GN_TOML_TABLE;
	if (base->is_table_array())
		return GN_TOML_TABLE_ARRAY;
	if (base->is_array())
		return GN_TOML_ARRAY;
	if (value_of<std::string>(base))
		return GN_TOML_STRING;
	if (value_of<int64_t>(base))
		return GN_TOML_INTEGER;
	if (value_of<double>(base))
		return GN_TOML_FLOAT;
	if (value_of<bool>(base))
		return GN_TOML_BOOLEAN;
	return GN_TOML_TIME;
}

gn_toml_kind_t gn_toml_get_kind(const gn_toml_table_t *table, const char *key)
{
	return kind_of(find_value(table, key));
}

static bool read_string(const cpptoml::base *base, gn_str_t *value)
{
	const std::string *text = value_of<std::string>(base);

	if (!text)
		return false;
	value->data = text->data();
	value->len = text->size();
	return true;
}

bool gn_toml_get_string(const gn_toml_table_t *table, const char *key,
			gn_str_t *value)
{
	return read_string(find_value(table, key), value);
}

bool gn_toml_get_integer(const gn_toml_table_t *table, const char *key,
			 int64_t *value)
{
	const int64_t *number = value_of<int64_t>(find_value(table, key));

	if (number)
		*value = *number;
	return number;
}

bool gn_toml_get_number(const gn_toml_table_t *table, const char *key,
			double *value)
{
	const double *number = value_of<double>(find_value(table, key));
	int64_t whole;

	if (number) {
		*value = *number;
		return true;
	}
	if (!gn_toml_get_integer(table, key, &whole))
		return false;
	*value = (double)whole;
	return true;
}

bool gn_toml_get_boolean(const gn_toml_table_t *table, const char *key,
			 bool *value)
{
	const bool *flag = value_of<bool>(find_value(table, key));

	if (flag)
		*value = *flag;
	return flag;
}

const gn_toml_table_t *gn_toml_get_table(const gn_toml_table_t *table,
					 const char *key)
{
	return wrap(
		dynamic_cast<const cpptoml::table *>(find_value(table, key)));
}

size_t gn_toml_get_length(const gn_toml_table_t *table, const char *key)
{
	const cpptoml::base *base = find_value(table, key);

	if (auto array = dynamic_cast<const cpptoml::array *>(base))
		return array->get().size();
	if (auto tables = dynamic_cast<const cpptoml::table_array *>(base))
		return tables->get().size();
	return 0;
}

bool gn_toml_get_string_at(const gn_toml_table_t *table, const char *key,
			   size_t index, gn_str_t *value)
{
	auto array =
		dynamic_cast<const cpptoml::array *>(find_value(table, key));

	if (!array || index >= array->get().size())
		return false;
	return read_string(array->get()[index].get(), value);
}

const gn_toml_table_t *gn_toml_get_table_at(const gn_toml_table_t *table,
					    const char *key, size_t index)
{
	auto tables =
		dynamic_cast<const cpptoml::table_array *>(
			find_value(table, key));

	if (!tables || index >= tables->get().size())
		return nullptr;
	return wrap(tables->get()[index].get());
}

bool gn_toml_visit_keys(const gn_toml_table_t *table, gn_toml_visit_fn_t visit,
			void *arg)
{
	for (const auto &entry : *unwrap(table))
		if (!visit(arg, entry.first.c_str()))
			return false;
	return true;
}

/** Removes the tables of @p array whose @p key is @p value. */
static void remove_tables(cpptoml::table &root, const char *array,
			  const char *key, const char *value)
{
	auto tables = root.get_table_array(array);

	if (!tables)
		return;
	for (auto it = tables->begin(); it != tables->end();) {
		auto held = (*it)->get_as<std::string>(key);

		it = held && *held == value ? tables->erase(it) : it + 1;
	}
	if (tables->get().empty())
		root.erase(array);
}

gn_code_t gn_toml_remove_tables(TALLOC_CTX *parent, gn_str_t text,
				const char *array, const char *key,
				const char *value, gn_str_t *changed,
				char *message)
{
	gn_toml_t *document;
	gn_code_t code = gn_toml_parse(NULL, text, &document, message);
	char *copy = NULL;
	std::string out;

	if (code)
		return code;
	try {
		std::ostringstream stream;

		remove_tables(**document->root, array, key, value);
		stream << **document->root;
		out = stream.str();
		copy = talloc_strndup(parent, out.data(), out.size());
	} catch (const std::exception &) {
		copy = NULL;
	}
	talloc_free(document);
	if (!copy)
		return set_message(message, GN_ERR_MEMORY, "out of memory");
	changed->data = copy;
	changed->len = out.size();
	return GN_OK;
}
