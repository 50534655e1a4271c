// Messages to the daemon itself whose bodies are small: they are read whole and answered at once.
#pragma once

#include "connection/http/server_connection.h"

#include <functional>
#include <string>

namespace bamboograde::process::sidecar {

constexpr char kJsonType[] = "application/json";

// Calls back once the body has arrived; not at all when the sender goes before.
void WithBody(connection::http::event_loop& aLoop,
              const connection::http::server_exchange_ptr& aExchange,
              std::function<void(const connection::http::server_exchange_ptr&)> aCallback);

void Answer(const connection::http::server_exchange_ptr& aExchange, int aStatus,
            const std::string& aBody, const char* aType = kJsonType);

} // namespace bamboograde::process::sidecar
