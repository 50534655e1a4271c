// Access to the platform's table service over HTTP.
#pragma once

#include "connection/http_client.h"
#include "connection/platform_store.h"

namespace bamboograde::connection {

class http_platform_store : public platform_store
{
public:
  // aClient: name of this daemon in the platform's counters.
  http_platform_store(const common::clock_source& aClock, common::endpoint aPlatform,
                      std::string aClient);
  void Commit(const transaction& aTransaction, common::boot_time aDeadline,
              std::function<void(commit_result)> aCallback) override;
  void Read(const std::string& aName, common::boot_time aDeadline,
            std::function<void(common::result<platform_row>)> aCallback) override;
  void Scan(const std::string& aPrefix, const std::string& aAfter, size_t aLimit,
            common::boot_time aDeadline,
            std::function<void(common::result<std::vector<platform_row>>)> aCallback) override;

private:
  http_request MakeRequest(const std::string& aMethod, const std::string& aTarget) const;

  const common::clock_source& mClock;
  common::endpoint mPlatform;
  std::string mClientName;
  http_client mClient;
};

} // namespace bamboograde::connection
