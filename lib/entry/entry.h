/**
 * @file entry.h
 * @brief The entry: the process on an entry host that callers speak to.
 *
 * It holds a caller's connection, picks the worker, and tells the caller what
 * became of the request.
 */
#ifndef GN_ENTRY_ENTRY_H
#define GN_ENTRY_ENTRY_H

#include "daemon/runtime.h"

extern const gn_role_ops_t gn_entry_role;

#endif
