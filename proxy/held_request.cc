#include "proxy/held_request.h"

#include <utility>

namespace damasktack {

namespace {

struct HeldRequest {
  HttpRequest request;
  MemoryAccount memory;
};

}  // namespace

std::shared_ptr<HttpRequest> HoldRequest(HttpRequest request,
                                         MemoryAccount memory) {
  const auto held = std::make_shared<HeldRequest>(
      HeldRequest{std::move(request), std::move(memory)});
  return {held, &held->request};
}

}  // namespace damasktack
