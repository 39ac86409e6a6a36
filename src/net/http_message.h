// HTTP messages as the client and the server of this package hand them to their callers.
#ifndef ZINCLEAD_NET_HTTP_MESSAGE_H_
#define ZINCLEAD_NET_HTTP_MESSAGE_H_

#include <string>

namespace zinclead::net {

// A request as a server received it.
struct ServerRequest {
  std::string method;  // "OTHER" for those that the server does not name
  std::string path;    // without the query
  std::string query;   // without the question mark; empty if there is none
  std::string body;
};

// A response, to be sent or as received. Bodies are JSON.
struct Response {
  int status = 0;         // 0, at a client: no complete response arrived in time
  int retry_after_s = 0;  // the Retry-After header; 0: none
  std::string body;
};

}  // namespace zinclead::net

#endif  // ZINCLEAD_NET_HTTP_MESSAGE_H_
