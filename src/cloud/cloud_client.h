// Client of the cloud. The nodes share its request rate; only the leader calls it.
#ifndef ZINCLEAD_CLOUD_CLOUD_CLIENT_H_
#define ZINCLEAD_CLOUD_CLOUD_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "core/token_bucket.h"
#include "net/http_client.h"
#include "wire/wire.h"

namespace zinclead::cloud {

enum class ScaleOutResult { kProvisioned, kNoCapacity, kUnknown };

class CloudClient {
 public:
  CloudClient(net::EventLoop* loop, const config::Settings& settings);

  void MachineTypes(std::function<void(std::optional<std::vector<wire::MachineType>>)> done);
  void ScaleOut(const wire::ScaleOutRequest& request,
                std::function<void(ScaleOutResult, std::vector<std::string>)> done);
  // `gone`: the deletion was answered, so the machines and all that was on them are gone.
  void Delete(const std::vector<std::string>& machines, std::function<void(bool gone)> done);
  // The whole list, page by page.
  void List(std::function<void(std::optional<std::vector<wire::ListedMachine>>)> done);

 private:
  void Call(const char* method, std::string path, std::string body, core::Importance importance,
            net::HttpClient::Callback done);
  void ListPage(const std::string& after, std::vector<wire::ListedMachine> so_far,
                std::function<void(std::optional<std::vector<wire::ListedMachine>>)> done);
  void Malformed(const char* what);

  net::EventLoop* loop_;
  net::HttpClient calls_;
  core::TokenBucket tokens_;
  double timeout_s_;
  uint64_t malformed_ = 0;
};

}  // namespace zinclead::cloud

#endif  // ZINCLEAD_CLOUD_CLOUD_CLIENT_H_
