/**
 * @file address.h
 * @brief Addresses by IP number: "192.0.2.1:80" or "[2001:db8::1]:80".
 */
#ifndef GN_CONFIG_ADDRESS_H
#define GN_CONFIG_ADDRESS_H

#include <sys/socket.h>

#include "gypsumnotch.h"

/**
 * Parses an address; names are not looked up.
 * @param text 1..GN_ADDRESS_MAX bytes; port 1..65535
 * @param address set on success, else untouched
 * @return GN_OK or GN_ERR_INVALID
 */
gn_code_t gn_address_parse(gn_str_t text, struct sockaddr_storage *address);

/**
 * Writes @p address in its one canonical text form.
 * @param text of GN_ADDRESS_MAX + 1 bytes
 */
void gn_address_format(const struct sockaddr_storage *address, char *text);

#endif
