/**
 * @file status.h
 * @brief HTTP status codes that this system sends or handles.
 */
#ifndef GN_HTTP_STATUS_H
#define GN_HTTP_STATUS_H

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_METHOD_NOT_ALLOWED 405
#define HTTP_CONFLICT 409
#define HTTP_UNPROCESSABLE 422
#define HTTP_SERVER_ERROR 500
#define HTTP_NOT_IMPLEMENTED 501
#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504

#endif
