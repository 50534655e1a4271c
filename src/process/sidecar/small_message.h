// Helpers for small messages to the daemon itself, whose bodies are read whole before the response.
#pragma once

#include "connection/http/server_connection.h"

#include <functional>
#include <string>

namespace bamboograde::process::sidecar {

constexpr char kJsonType[] = "application/json";

// Calls back when the body is complete; not at all if the sender disconnects before.
void ReadBody(connection::http::event_loop& aLoop,
              const connection::http::server_exchange_ptr& aExchange,
              std::function<void(const connection::http::server_exchange_ptr&)> aCallback);

void Respond(const connection::http::server_exchange_ptr& aExchange, int aStatus,
             const std::string& aBody, const char* aType = kJsonType);

} // namespace bamboograde::process::sidecar
