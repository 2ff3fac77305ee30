#include "config/address.h"

#include <arpa/inet.h>
#include <assert.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "common/str.h"

#define PORT_MAX 65535

static gn_code_t parse_v4(const char *host, uint16_t port,
			  struct sockaddr_storage *address)
{
	struct sockaddr_in v4 = { .sin_family = AF_INET,
				  .sin_port = htons(port) };

	if (inet_pton(AF_INET, host, &v4.sin_addr) != 1)
		return GN_ERR_INVALID;
	memset(address, 0, sizeof(*address));
	memcpy(address, &v4, sizeof(v4));
	return GN_OK;
}

static gn_code_t parse_v6(char *host, uint16_t port,
			  struct sockaddr_storage *address)
{
	struct sockaddr_in6 v6 = { .sin6_family = AF_INET6,
				   .sin6_port = htons(port) };
	size_t len = strlen(host);

	if (host[len - 1] != ']')
		return GN_ERR_INVALID;
	host[len - 1] = '\0';
	if (inet_pton(AF_INET6, host + 1, &v6.sin6_addr) != 1)
		return GN_ERR_INVALID;
	memset(address, 0, sizeof(*address));
	memcpy(address, &v6, sizeof(v6));
	return GN_OK;
}

gn_code_t gn_address_parse(gn_str_t text, struct sockaddr_storage *address)
{
	char host[GN_ADDRESS_MAX + 1];
	char *colon;
	uint64_t port;

	if (gn_str_copy(host, sizeof(host), text) || strlen(host) != text.len)
		return GN_ERR_INVALID;
	colon = strrchr(host, ':');
	if (!colon || colon == host)
		return GN_ERR_INVALID;
	*colon = '\0';
	if (gn_str_parse_u64(gn_str_from(colon + 1), PORT_MAX, &port) || !port)
		return GN_ERR_INVALID;
	if (host[0] == '[')
		return parse_v6(host, (uint16_t)port, address);
	return parse_v4(host, (uint16_t)port, address);
}

void gn_address_format(const struct sockaddr_storage *address, char *text)
{
	char host[INET6_ADDRSTRLEN];
	struct sockaddr_in6 v6;
	struct sockaddr_in v4;

	if (address->ss_family == AF_INET6) {
		memcpy(&v6, address, sizeof(v6));
		inet_ntop(AF_INET6, &v6.sin6_addr, host, sizeof(host));
		snprintf(text, GN_ADDRESS_MAX + 1, "[%s]:%u", host,
			 (unsigned)ntohs(v6.sin6_port));
		return;
	}
	assert(address->ss_family == AF_INET);
	memcpy(&v4, address, sizeof(v4));
	inet_ntop(AF_INET, &v4.sin_addr, host, sizeof(host));
	snprintf(text, GN_ADDRESS_MAX + 1, "%s:%u", host,
		 (unsigned)ntohs(v4.sin_port));
}
