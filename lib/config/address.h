/**
 * @file address.h
 * @brief Numeric socket addresses: "192.0.2.1:80" or "[2001:db8::1]:80".
 */
#ifndef GN_CONFIG_ADDRESS_H
#define GN_CONFIG_ADDRESS_H

#include <sys/socket.h>

#include "gypsumnotch.h"

/**
 * Parses a numeric address; host names are not resolved.
 * @param text 1..GN_ADDRESS_MAX bytes; port 1..65535
 * @param address set on success only
 * @return GN_OK or GN_ERR_INVALID
 */
gn_code_t gn_address_parse(gn_str_t text, struct sockaddr_storage *address);

/**
 * Formats @p address in its canonical text form.
 * @param text buffer of GN_ADDRESS_MAX + 1 bytes
 */
void gn_address_format(const struct sockaddr_storage *address, char *text);

#endif
