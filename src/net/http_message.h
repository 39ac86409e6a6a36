// HTTP requests and responses, as HttpClient and HttpServer exchange them with their callers.
#ifndef ZINCLEAD_NET_HTTP_MESSAGE_H_
#define ZINCLEAD_NET_HTTP_MESSAGE_H_

#include <string>

namespace zinclead::net {

// A request as a server received it.
struct ServerRequest {
  std::string method;  // "OTHER" unless GET, POST, PUT or DELETE
  std::string path;    // without the query
  std::string query;   // without the question mark; empty if there is none
  std::string body;
};

// A response that a server sends or that a client received. Bodies are JSON.
struct Response {
  int status = 0;         // 0 at a client that got no complete response
  int retry_after_s = 0;  // the Retry-After header; 0 if there is none
  std::string body;
};

}  // namespace zinclead::net

#endif  // ZINCLEAD_NET_HTTP_MESSAGE_H_
